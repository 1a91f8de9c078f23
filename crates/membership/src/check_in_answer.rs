//! The answer to a check-in of the upstream.

use std::time::Duration;

use cluster::UnitFence;
use serde::Deserialize;
use serde::Serialize;

/// The answer to a check-in: all units that the upstream is to hold, and for how long.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CheckInAnswer {
    /// Units that the upstream is to hold.
    pub granted: Vec<UnitFence>,
    /// Time for which the upstream holds them, counted from when it sent the check-in; `None` if nothing is renewed.
    pub hold: Option<Duration>,
    /// Id of the check-in.
    pub id: u64,
}

impl CheckInAnswer {
    /// Returns an answer that renews nothing.
    pub(crate) fn without_renewal(id: u64) -> Self {
        Self {
            granted: Vec::new(),
            hold: None,
            id,
        }
    }
}
