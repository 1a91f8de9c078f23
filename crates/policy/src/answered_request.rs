//! Last stage of a request at an entry.

use std::collections::BTreeSet;

use ids::VmId;

use crate::RequestHead;

/// Request whose complete answer has arrived.
#[derive(Debug)]
pub struct AnsweredRequest {
    head: RequestHead,
    home: VmId,
    homes_to_cancel: BTreeSet<VmId>,
}

impl AnsweredRequest {
    pub(crate) fn new(head: RequestHead, home: VmId, mut open: BTreeSet<VmId>) -> Self {
        open.remove(&home);
        Self {
            head,
            home,
            homes_to_cancel: open,
        }
    }

    /// Returns the head of the request.
    pub fn head(&self) -> &RequestHead {
        &self.head
    }

    /// Returns the home whose answer goes to the caller.
    pub fn home(&self) -> &VmId {
        &self.home
    }

    /// Returns the other homes that may still run the request, at which it must be cancelled.
    pub fn homes_to_cancel(&self) -> &BTreeSet<VmId> {
        &self.homes_to_cancel
    }
}
