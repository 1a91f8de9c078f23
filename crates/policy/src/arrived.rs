//! First stage of a request at its home.

use std::time::Duration;

use ids::RequestId;

use crate::Outcome;
use crate::Reason;
use crate::Started;
use crate::Statement;

/// Request that has reached its home and has not yet been sent to the upstream.
#[derive(Debug)]
pub struct Arrived {
    request: RequestId,
}

impl Arrived {
    /// Starts the life cycle of a request at its home.
    pub fn new(request: RequestId) -> Self {
        Self { request }
    }

    /// Returns the id of the request.
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Moves the request to the next stage.
    ///
    /// Must be called before the first byte is sent to the upstream.
    pub fn start(self) -> Started {
        Started::new(self.request)
    }

    /// Refuses the request as not run.
    pub fn refuse(self, reason: Reason, retry_after: Option<Duration>) -> Statement {
        Statement::new(self.request, Outcome::NotRun, reason, retry_after)
    }
}
