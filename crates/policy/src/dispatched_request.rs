//! Stage of a request at an entry after dispatch.

use std::collections::BTreeSet;

use ids::VmId;
use ids::WorkspaceId;

use crate::AdmittedRequest;
use crate::AnsweredRequest;
use crate::Outcome;
use crate::Reason;
use crate::Refusal;
use crate::RequestHead;
use crate::Resolution;
use crate::Statement;

/// Request that has been dispatched to one home, or to several when it is hedged or retried.
#[derive(Debug)]
pub struct DispatchedRequest {
    head: RequestHead,
    /// Homes that may have run the request and whose answer can no longer arrive.
    lost: BTreeSet<VmId>,
    open: BTreeSet<VmId>,
    workspace: Option<WorkspaceId>,
}

impl DispatchedRequest {
    pub(crate) fn new(head: RequestHead, workspace: Option<WorkspaceId>, home: VmId) -> Self {
        Self {
            head,
            lost: BTreeSet::new(),
            open: BTreeSet::from([home]),
            workspace,
        }
    }

    /// Returns the head of the request.
    pub fn head(&self) -> &RequestHead {
        &self.head
    }

    /// Returns the workspace, absent on routes open to all.
    pub fn workspace(&self) -> Option<&WorkspaceId> {
        self.workspace.as_ref()
    }

    /// Returns the homes that have neither answered nor stated an outcome, and are not marked lost.
    pub fn open_homes(&self) -> &BTreeSet<VmId> {
        &self.open
    }

    /// Adds a home, and returns whether it may be dispatched to.
    ///
    /// Must be called before the first byte of a hedge or retry is sent to `home`. Returns `false`, and
    /// adds nothing, unless the request is idempotent and has attempts left.
    pub fn add_home(&mut self, home: VmId) -> bool {
        let may_add = self.head.idempotent && self.has_attempts_left();
        if may_add {
            self.open.insert(home);
        }
        may_add
    }

    /// Reports whether one more home may run the request.
    ///
    /// Every home that the request was sent to counts, until it has stated that it did not run the
    /// request and will not: a silent home may still start it.
    pub fn has_attempts_left(&self) -> bool {
        let attempts = self.open.union(&self.lost).count();
        let max_attempts = self.head.max_attempts;
        max_attempts.is_none_or(|max| u32::try_from(attempts).is_ok_and(|attempts| attempts < max))
    }

    /// Records the statement of `home` about the request.
    ///
    /// The request returns to the stage before dispatch only when every home that it was sent to has
    /// stated that it did not run. A statement about another request or from another home has no
    /// effect.
    pub fn record_statement(mut self, home: &VmId, statement: &Statement) -> Resolution {
        if statement.request() != self.head.id || !self.open.remove(home) {
            return Resolution::Open(self);
        }
        if statement.outcome() == Outcome::Unknown {
            self.lost.insert(home.clone());
        }
        if self.open.is_empty() && self.lost.is_empty() {
            return Resolution::NotRun(AdmittedRequest::new(self.head, self.workspace));
        }
        Resolution::Open(self)
    }

    /// Records that the outcome at `home` can no longer be learned.
    pub fn mark_lost(&mut self, home: &VmId) {
        if self.open.remove(home) {
            self.lost.insert(home.clone());
        }
    }

    /// Moves the request to the last stage with the answer of `home`.
    pub fn answer(self, home: VmId) -> AnsweredRequest {
        AnsweredRequest::new(self.head, home, self.open)
    }

    /// Refuses the request with unknown outcome.
    pub fn refuse(self, reason: Reason) -> Refusal {
        Refusal::unknown(reason)
    }
}
