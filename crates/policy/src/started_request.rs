//! Stage of a request at its home after it has been sent to the upstream.

use std::time::Duration;

use ids::RequestId;

use crate::ArrivedRequest;
use crate::Outcome;
use crate::Reason;
use crate::Statement;

/// Request of which at least one byte may have reached the upstream.
#[derive(Debug)]
pub struct StartedRequest {
    request_id: RequestId,
}

impl StartedRequest {
    pub(crate) fn new(request_id: RequestId) -> Self {
        Self { request_id }
    }

    /// Returns the id of the request.
    pub fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Returns the request to the stage before the start.
    ///
    /// Must be called only if the upstream answered `skylark-not-run` or confirmed a cancellation.
    pub fn confirm_not_run(self) -> ArrivedRequest {
        ArrivedRequest::new(self.request_id)
    }

    /// Refuses the request as not run after the upstream has answered `skylark-not-run`.
    pub fn refuse_not_run(self, reason: Reason, retry_after: Option<Duration>) -> Statement {
        self.confirm_not_run().refuse(reason, retry_after)
    }

    /// Refuses the request with unknown outcome.
    pub fn refuse(self, reason: Reason) -> Statement {
        Statement::new(self.request_id, Outcome::Unknown, reason, None)
    }
}
