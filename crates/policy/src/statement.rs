//! Statement of a home about a request that it does not answer.

use std::time::Duration;

use ids::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::Outcome;
use crate::Reason;

/// Outcome and reason that a home states for a request that it returns no answer to.
///
/// A home obtains a statement from [`ArrivedRequest`](crate::ArrivedRequest) or
/// [`StartedRequest`](crate::StartedRequest). An entry obtains one only by [`Statement::from_home`],
/// from an authenticated message of the home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Statement {
    outcome: Outcome,
    reason: Reason,
    request: RequestId,
    retry_after: Option<Duration>,
}

impl Statement {
    pub(crate) fn new(
        request: RequestId,
        outcome: Outcome,
        reason: Reason,
        retry_after: Option<Duration>,
    ) -> Self {
        Self {
            outcome,
            reason,
            request,
            retry_after,
        }
    }

    /// Creates a statement from an authenticated message of a home.
    pub fn from_home(
        request: RequestId,
        outcome: Outcome,
        reason: Reason,
        retry_after: Option<Duration>,
    ) -> Self {
        Self::new(request, outcome, reason, retry_after)
    }

    /// Returns the outcome, which states whether the request can have run.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns the reason why there is no answer.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns the id of the request that the statement is about.
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Returns how long to wait before the request is retried.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}
