//! Stage of a request between authentication and rate limiting.

use std::time::Duration;

use ids::WorkspaceId;

use crate::AdmittedRequest;
use crate::Reason;
use crate::Refusal;
use crate::RequestHead;

/// Request that has been authenticated and not yet admitted by the rate limit of its workspace.
#[derive(Debug)]
pub struct AuthenticatedRequest {
    head: RequestHead,
    workspace: Option<WorkspaceId>,
}

impl AuthenticatedRequest {
    pub(crate) fn new(head: RequestHead, workspace: Option<WorkspaceId>) -> Self {
        Self { head, workspace }
    }

    /// Returns the head of the request.
    pub fn head(&self) -> &RequestHead {
        &self.head
    }

    /// Returns the workspace, absent on routes open to all.
    pub fn workspace(&self) -> Option<&WorkspaceId> {
        self.workspace.as_ref()
    }

    /// Moves the request to the next stage.
    ///
    /// Must be called only after the rate limit of the workspace has admitted the request.
    pub fn admit(self) -> AdmittedRequest {
        AdmittedRequest::new(self.head, self.workspace)
    }

    /// Refuses the request as not run.
    pub fn refuse(self, reason: Reason, retry_after: Option<Duration>) -> Refusal {
        Refusal::not_run(reason, retry_after)
    }
}
