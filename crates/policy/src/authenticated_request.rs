//! Stage of a request between authentication and rate limiting.

use ids::WorkspaceId;
use std::time::Duration;

use crate::AdmittedRequest;
use crate::Reason;
use crate::Refusal;
use crate::RequestHead;

/// Request whose workspace is known, and that its rate limit has not admitted yet.
#[derive(Debug)]
pub struct AuthenticatedRequest {
    head: RequestHead,
    workspace: Option<WorkspaceId>,
}

impl AuthenticatedRequest {
    pub(crate) fn new(head: RequestHead, workspace: Option<WorkspaceId>) -> Self {
        Self { head, workspace }
    }

    /// Returns what the caller states about the request.
    pub fn head(&self) -> &RequestHead {
        &self.head
    }

    /// Returns the workspace, or `None` on a route that needs no authentication.
    pub fn workspace(&self) -> Option<&WorkspaceId> {
        self.workspace.as_ref()
    }

    /// Returns the next stage. Call it once the rate limit of the workspace allows the request.
    pub fn admit(self) -> AdmittedRequest {
        AdmittedRequest::new(self.head, self.workspace)
    }

    /// Refuses the request, which has not run.
    pub fn refuse(self, reason: Reason, retry_after: Option<Duration>) -> Refusal {
        Refusal::not_run(reason, retry_after)
    }
}
