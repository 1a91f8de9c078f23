//! Baseline for the choice of an upstream: the least reported load.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ids::VmId;

use crate::Candidate;
use crate::Choice;
use crate::ChoiceReason;
use crate::Chooser;
use crate::Completion;
use crate::Ticket;

/// Baseline that takes the upstream with the least reported load, and equal ones in turn.
#[derive(Clone, Debug, Default)]
pub struct LeastLoadReport {
    loads: BTreeMap<VmId, f64>,
    turn: u64,
    turns: BTreeMap<VmId, u64>,
}

impl Chooser for LeastLoadReport {
    fn choose(&mut self, _now: Duration, excluded: &BTreeSet<VmId>) -> Option<Choice> {
        let turn_of = |vm: &VmId| self.turns.get(vm).copied().unwrap_or(0);
        let (vm, _) = self
            .loads
            .iter()
            .filter(|(vm, _)| !excluded.contains(*vm))
            .min_by(|(a, a_load), (b, b_load)| {
                a_load.total_cmp(b_load).then(turn_of(a).cmp(&turn_of(b)))
            })?;
        let vm = vm.clone();
        self.turn += 1;
        self.turns.insert(vm.clone(), self.turn);
        Some(Choice {
            reason: ChoiceReason::Better,
            vm,
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

    fn record_load(&mut self, _now: Duration, vm: &VmId, load: f64) {
        if let Some(known) = self.loads.get_mut(vm) {
            *known = load;
        }
    }

    fn set_candidates(&mut self, _now: Duration, candidates: &[Candidate]) {
        let known = std::mem::take(&mut self.loads);
        for candidate in candidates {
            let load = known.get(&candidate.vm).copied().unwrap_or(0.0);
            self.loads.insert(candidate.vm.clone(), load);
        }
        let loads = &self.loads;
        self.turns.retain(|vm, _| loads.contains_key(vm));
    }

    fn record_start(&mut self, _now: Duration, _vm: &VmId, _ticket: Ticket) {}
}
