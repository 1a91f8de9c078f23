//! Stage of a request at its home after it has been sent to the upstream.

use std::time::Duration;

use ids::RequestId;

use crate::Arrived;
use crate::Outcome;
use crate::Reason;
use crate::Statement;

/// Request of which at least one byte may have reached the upstream.
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

    /// Returns the request to the stage before the start.
    ///
    /// Must be called only if the upstream answered `skylark-not-run` or confirmed a cancellation.
    pub fn confirm_not_run(self) -> Arrived {
        Arrived::new(self.request)
    }

    /// Refuses the request as not run after the upstream has answered `skylark-not-run`.
    pub fn refuse_not_run(self, reason: Reason, retry_after: Option<Duration>) -> Statement {
        self.confirm_not_run().refuse(reason, retry_after)
    }

    /// Refuses the request with unknown outcome.
    pub fn refuse(self, reason: Reason) -> Statement {
        Statement::new(self.request, Outcome::Unknown, reason, None)
    }
}
