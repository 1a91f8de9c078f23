//! Choice of an upstream for a request of a keyless service.

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::time::Duration;

use ids::VmId;

use crate::Candidate;
use crate::Choice;
use crate::Completion;
use crate::HomeWork;
use crate::RequestKind;
use crate::Ticket;

/// Chooses upstreams for the requests of a keyless service at one entry.
pub trait Chooser: Debug {
    /// Chooses an upstream that is not in `excluded`, or returns `None` if none can be used.
    fn choose(&mut self, now: Duration, excluded: &BTreeSet<VmId>) -> Option<Choice>;

    /// Chooses an upstream for a request of a known kind.
    fn choose_for(
        &mut self,
        now: Duration,
        excluded: &BTreeSet<VmId>,
        _kind: &RequestKind,
    ) -> Option<Choice> {
        self.choose(now, excluded)
    }

    /// Records that the home of an upstream cannot start another request until a time, because the upstream limits their rate.
    fn record_busy(&mut self, _vm: &VmId, _until: Duration) {}

    /// Records how a request ended.
    fn record_completion(
        &mut self,
        now: Duration,
        vm: &VmId,
        ticket: Ticket,
        completion: Completion,
    );

    /// Records a load report, which may be late or wrong; `load` is from 0 to 1.
    fn record_load(&mut self, now: Duration, vm: &VmId, load: f64);

    /// Replaces the candidates; the load of those that were absent before increases slowly.
    fn set_candidates(&mut self, now: Duration, candidates: &[Candidate]);

    /// Records that a request is dispatched to `vm`.
    ///
    /// No other request in flight to the same VM may have the same `ticket`.
    fn record_start(&mut self, now: Duration, vm: &VmId, ticket: Ticket);

    /// Records that a request of a known kind is dispatched to `vm`, as [`Chooser::record_start`] does.
    fn record_start_of(&mut self, now: Duration, vm: &VmId, ticket: Ticket, _kind: &RequestKind) {
        self.record_start(now, vm, ticket);
    }

    /// Records what a home states of its work in the reply to a request.
    fn record_work(&mut self, _now: Duration, _vm: &VmId, _kind: &RequestKind, _work: HomeWork) {}
}
