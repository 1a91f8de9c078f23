//! A process whose `Join` is not read back yet.

use std::time::Duration;

use ids::Incarnation;

use crate::Active;

/// A process whose `Join` is not read back yet.
#[derive(Clone, Debug)]
pub(crate) struct Joining;

impl Joining {
    /// Returns the state after the `Join` was read back.
    pub(crate) fn joined(self, now: Duration, incarnation: Incarnation) -> Active {
        Active {
            incarnation,
            joined_at: now,
        }
    }
}
