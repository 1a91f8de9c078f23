//! A home's word about a request.

use std::time::Duration;

use ids::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::Outcome;
use crate::Reason;

/// What a home states about a request that it gives no answer to.
///
/// A home obtains it from [`ArrivedRequest`](crate::ArrivedRequest) or
/// [`StartedRequest`](crate::StartedRequest). An entry obtains it by [`Statement::from_home`] from an
/// authenticated message of the home, and nowhere else.
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

    /// Takes over a statement that a home made in an authenticated message.
    pub fn from_home(
        request: RequestId,
        outcome: Outcome,
        reason: Reason,
        retry_after: Option<Duration>,
    ) -> Self {
        Self::new(request, outcome, reason, retry_after)
    }

    /// Returns whether the request can have run.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns the reason.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns the request that the statement is about.
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Returns how long to wait before the request is sent again.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}
