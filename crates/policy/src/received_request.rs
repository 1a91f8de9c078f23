//! First stage of a request at an entry.

use std::time::Duration;

use ids::WorkspaceId;

use crate::AuthenticatedRequest;
use crate::Reason;
use crate::Refusal;
use crate::RequestHead;

/// Time after which a caller should retry a request that was refused for lack of a configuration.
const CONFIGURATION_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Request that has been read and not yet authenticated.
#[derive(Debug)]
pub struct ReceivedRequest {
    head: RequestHead,
}

impl ReceivedRequest {
    /// Starts the life cycle of a request.
    pub fn new(head: RequestHead) -> Self {
        Self { head }
    }

    /// Refuses, as not run, a request whose head cannot be read or whose route is not known.
    pub fn refuse_unreadable(reason: Reason) -> Refusal {
        let is_unconfigured = matches!(reason, Reason::Unconfigured | Reason::Uninformed);
        Refusal::not_run(reason, is_unconfigured.then_some(CONFIGURATION_RETRY_DELAY))
    }

    /// Returns the head of the request.
    pub fn head(&self) -> &RequestHead {
        &self.head
    }

    /// Moves the request to the next stage; `workspace` is `None` on routes open to all.
    pub fn authenticate(self, workspace: Option<WorkspaceId>) -> AuthenticatedRequest {
        AuthenticatedRequest::new(self.head, workspace)
    }

    /// Refuses the request as not run.
    pub fn refuse(self, reason: Reason, retry_after: Option<Duration>) -> Refusal {
        Refusal::not_run(reason, retry_after)
    }
}
