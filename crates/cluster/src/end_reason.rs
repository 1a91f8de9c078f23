//! Reasons for which a member ends.

/// Reason for which a member ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndReason {
    /// An operator has checked that the process is gone.
    DeclaredLost,
    /// The member left after it had stopped serving.
    Left,
    /// The witnesses no longer renew the lease of the member.
    Lost,
    /// A later process joined with the same VM or peer address.
    Replaced,
}
