//! Stage of a request whose workspace is known.

use std::time::Duration;

use ids::WorkspaceId;

use crate::AdmittedRequest;
use crate::Reason;
use crate::Refusal;
use crate::RequestHead;

/// Request whose workspace is known and that has not yet been admitted under its rate.
#[derive(Debug)]
pub struct Authenticated {
    head: RequestHead,
    workspace: Option<WorkspaceId>,
}

impl Authenticated {
    pub(crate) fn new(head: RequestHead, workspace: Option<WorkspaceId>) -> Self {
        Self { head, workspace }
    }

    /// Returns what the caller states about the request.
    pub fn head(&self) -> &RequestHead {
        &self.head
    }

    /// Returns the workspace, absent on routes open to all.
    pub fn workspace(&self) -> Option<&WorkspaceId> {
        self.workspace.as_ref()
    }

    /// Passes on to the next stage once the rate of the workspace allows it.
    pub fn admit(self) -> AdmittedRequest {
        AdmittedRequest::new(self.head, self.workspace)
    }

    /// Ends the request as not run.
    pub fn refuse(self, reason: Reason, retry_after: Option<Duration>) -> Refusal {
        Refusal::not_run(reason, retry_after)
    }
}
