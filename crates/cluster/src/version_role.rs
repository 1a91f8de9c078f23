//! What upstreams of a version get.

/// What upstreams of a version get.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionRole {
    /// Requests and units as always.
    Current,
    /// The requests and units that a trial assigns.
    Trial,
    /// Nothing, and their units move away.
    Withdrawn,
}
