//! The answer to a check-in of the upstream.

use std::time::Duration;

use cluster::UnitFence;
use serde::Deserialize;
use serde::Serialize;

/// The answer to a check-in: all that the upstream is to hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CheckInAnswer {
    /// Units that the upstream is to hold.
    pub granted: Vec<UnitFence>,
    /// Time for which it holds them, counted from the sending of the check-in; `None` if nothing is renewed.
    pub hold: Option<Duration>,
    /// Identity of the check-in.
    pub id: u64,
}

impl CheckInAnswer {
    /// Returns the answer that renews nothing.
    pub(crate) fn without_renewal(id: u64) -> Self {
        Self {
            granted: Vec::new(),
            hold: None,
            id,
        }
    }
}
