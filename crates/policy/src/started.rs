//! Stage of a request that the upstream may run.

use std::time::Duration;

use ids::RequestId;

use crate::Arrived;
use crate::Outcome;
use crate::Reason;
use crate::Statement;

/// Request of which at least a byte may have reached the upstream.
#[derive(Debug)]
pub struct Started {
    request: RequestId,
}

impl Started {
    pub(crate) fn new(request: RequestId) -> Self {
        Self { request }
    }

    /// Returns the id of the request.
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Takes in that the upstream answered `skylark-not-run` or confirmed a cancellation.
    pub fn confirm_not_run(self) -> Arrived {
        Arrived::new(self.request)
    }

    /// Ends the request after the upstream stated, by `skylark-not-run`, that it did not run.
    pub fn refuse_not_run(self, reason: Reason, retry_after: Option<Duration>) -> Statement {
        self.confirm_not_run().refuse(reason, retry_after)
    }

    /// Ends the request with unknown outcome.
    pub fn refuse(self, reason: Reason) -> Statement {
        Statement::new(self.request, Outcome::Unknown, reason, None)
    }
}
