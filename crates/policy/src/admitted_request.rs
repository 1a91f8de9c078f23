//! Stage of a request at an entry after admission and before dispatch.

use std::time::Duration;

use ids::VmId;
use ids::WorkspaceId;

use crate::DispatchedRequest;
use crate::Reason;
use crate::Refusal;
use crate::RequestHead;

/// Request that may be dispatched to a home, and that no home has run or can still run.
#[derive(Debug)]
pub struct AdmittedRequest {
    head: RequestHead,
    workspace: Option<WorkspaceId>,
}

impl AdmittedRequest {
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
    /// Must be called before the first byte is sent to `home`.
    pub fn dispatch(self, home: VmId) -> DispatchedRequest {
        DispatchedRequest::new(self.head, self.workspace, home)
    }

    /// Refuses the request as not run.
    pub fn refuse(self, reason: Reason, retry_after: Option<Duration>) -> Refusal {
        Refusal::not_run(reason, retry_after)
    }
}
