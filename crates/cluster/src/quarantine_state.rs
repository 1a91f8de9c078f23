//! Treatment of a request in quarantine.

/// Treatment of a request in quarantine by entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineState {
    /// The request crashed an upstream while it ran alone, or upstreams again and again, and is refused.
    Refused,
    /// The request may have crashed an upstream and runs alone.
    Suspect,
}
