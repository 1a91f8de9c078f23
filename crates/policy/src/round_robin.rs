//! Baseline choice of upstreams in round-robin order.

use std::collections::BTreeSet;
use std::time::Duration;

use ids::VmId;

use crate::Candidate;
use crate::Choice;
use crate::ChoiceReason;
use crate::Chooser;
use crate::Completion;
use crate::Ticket;

/// Baseline that chooses the upstreams in round-robin order.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    candidates: Vec<VmId>,
    next: usize,
}

impl Chooser for RoundRobin {
    fn choose(&mut self, _now: Duration, excluded: &BTreeSet<VmId>) -> Option<Choice> {
        let count = self.candidates.len();
        let index = (0..count)
            .map(|step| (self.next + step) % count)
            .find(|index| !excluded.contains(&self.candidates[*index]))?;
        self.next = (index + 1) % count;
        Some(Choice {
            reason: ChoiceReason::Turn,
            vm: self.candidates[index].clone(),
        })
    }

    fn record_completion(
        &mut self,
        _now: Duration,
        _vm: &VmId,
        _ticket: Ticket,
        _completion: Completion,
    ) {
    }

    fn record_load(&mut self, _now: Duration, _vm: &VmId, _load: f64) {}

    fn set_candidates(&mut self, _now: Duration, candidates: &[Candidate]) {
        self.candidates = candidates
            .iter()
            .map(|candidate| candidate.vm.clone())
            .collect();
    }

    fn record_start(&mut self, _now: Duration, _vm: &VmId, _ticket: Ticket) {}
}
