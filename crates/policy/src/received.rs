//! First stage of a request.

use std::time::Duration;

use ids::WorkspaceId;

use crate::Authenticated;
use crate::Reason;
use crate::Refusal;
use crate::RequestHead;

/// Request that has been read and not yet authenticated.
#[derive(Debug)]
pub struct Received {
    head: RequestHead,
}

impl Received {
    /// Starts the life cycle of a request.
    pub fn new(head: RequestHead) -> Self {
        Self { head }
    }

    /// Ends a request, as not run, whose head cannot be read.
    pub fn refuse_unreadable(reason: Reason) -> Refusal {
        Refusal::not_run(reason, None)
    }

    /// Returns what the caller states about the request.
    pub fn head(&self) -> &RequestHead {
        &self.head
    }

    /// Passes on to the next stage; `workspace` is absent on routes open to all.
    pub fn authenticate(self, workspace: Option<WorkspaceId>) -> Authenticated {
        Authenticated::new(self.head, workspace)
    }

    /// Ends the request as not run.
    pub fn refuse(self, reason: Reason, retry_after: Option<Duration>) -> Refusal {
        Refusal::not_run(reason, retry_after)
    }
}
