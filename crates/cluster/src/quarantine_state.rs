//! Treatment of a request in quarantine.

/// Treatment of a request in quarantine by entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineState {
    /// The request crashed upstreams and is refused.
    Refused,
    /// The request may have crashed an upstream and runs alone.
    Suspect,
}
