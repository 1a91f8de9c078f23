//! Numbers of witnesses that renew or end a lease.

/// Number of witnesses that must renew a lease, and number whose suspicions end it.
///
/// Every set of witnesses that renews shares a witness with every set that suspects, because
/// `renewals + suspicions` is greater than the number of witnesses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quorum {
    /// Number of witnesses whose renewals keep a lease valid.
    pub renewals: usize,
    /// Number of witnesses whose suspicions end a lease.
    pub suspicions: usize,
}

impl Quorum {
    /// Returns the quorum for a number of witnesses.
    ///
    /// Without witnesses, no renewal is needed and no suspicion can end the lease.
    pub fn of(witnesses: usize) -> Self {
        let suspicions = witnesses / 2 + 1;
        Self {
            renewals: witnesses + 1 - suspicions,
            suspicions,
        }
    }
}
