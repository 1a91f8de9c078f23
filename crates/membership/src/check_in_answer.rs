//! The answer to a check-in of the upstream.

use std::time::Duration;

use cluster::UnitFence;
use serde::Deserialize;
use serde::Serialize;

use crate::CheckInRejection;

/// The answer to a check-in: all units that the upstream is to hold, and for how long.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CheckInAnswer {
    /// Units that the upstream is to hold.
    pub granted: Vec<UnitFence>,
    /// Time for which the upstream holds them, counted from when it sent the check-in; `None` if nothing is renewed.
    pub hold: Option<Duration>,
    /// Id of the check-in.
    pub id: u64,
    /// Reason why the check-in was rejected, `None` if it was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rejection: Option<CheckInRejection>,
}

impl CheckInAnswer {
    /// Returns an answer that renews nothing.
    pub(crate) fn without_renewal(id: u64) -> Self {
        Self {
            granted: Vec::new(),
            hold: None,
            id,
            rejection: None,
        }
    }

    /// Returns the answer to a check-in that was rejected.
    pub(crate) fn rejected(id: u64, rejection: CheckInRejection) -> Self {
        Self {
            rejection: Some(rejection),
            ..Self::without_renewal(id)
        }
    }
}
