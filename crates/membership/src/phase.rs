//! The phase of a member's life cycle.

use serde::Deserialize;
use serde::Serialize;

/// The phase of a member's life cycle.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Not a member.
    Absent,
    /// Has appended its `Join` and has not read it back yet.
    Joining,
    /// A member.
    Active,
    /// Stops serving its units, and then ends its membership.
    Leaving,
    /// Has completed a graceful stop.
    Stopped,
}
