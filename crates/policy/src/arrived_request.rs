//! First stage of a request at its home.

use std::time::Duration;

use ids::RequestId;

use crate::Outcome;
use crate::Reason;
use crate::StartedRequest;
use crate::Statement;

/// Request that has reached its home and has not yet been sent to the upstream.
#[derive(Debug)]
pub struct ArrivedRequest {
    request_id: RequestId,
}

impl ArrivedRequest {
    /// Starts the life cycle of a request at its home.
    pub fn new(request_id: RequestId) -> Self {
        Self { request_id }
    }

    /// Returns the id of the request.
    pub fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Moves the request to the next stage.
    ///
    /// Must be called before the first byte is sent to the upstream.
    pub fn start(self) -> StartedRequest {
        StartedRequest::new(self.request_id)
    }

    /// Refuses the request as not run.
    pub fn refuse(self, reason: Reason, retry_after: Option<Duration>) -> Statement {
        Statement::new(self.request_id, Outcome::NotRun, reason, retry_after)
    }
}
