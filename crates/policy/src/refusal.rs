//! Refusal of a request.

use std::time::Duration;

use serde::Serialize;

use crate::Outcome;
use crate::Reason;

/// Refusal that a caller receives in place of an answer.
///
/// Only the stages of a request construct it, so that [`Outcome::NotRun`] always comes either from a
/// stage before dispatch or from a [`Statement`](crate::Statement) of the home.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Refusal {
    outcome: Outcome,
    reason: Reason,
    retry_after: Option<Duration>,
}

impl Refusal {
    pub(crate) fn not_run(reason: Reason, retry_after: Option<Duration>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after,
        }
    }

    pub(crate) fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_after: None,
        }
    }

    /// Returns the outcome, which states whether the request can have run.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns the reason for the refusal.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns the time that the caller should wait before it retries.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}
