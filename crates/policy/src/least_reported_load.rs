//! Baseline that chooses the upstream with the least reported load.

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

/// Baseline that chooses the upstream with the least reported load, and alternates among equal ones.
#[derive(Clone, Debug, Default)]
pub struct LeastReportedLoad {
    loads: BTreeMap<VmId, f64>,
    last_choice: u64,
    choices: BTreeMap<VmId, u64>,
}

impl Chooser for LeastReportedLoad {
    fn choose(&mut self, _now: Duration, excluded: &BTreeSet<VmId>) -> Option<Choice> {
        let last_choice_of = |vm: &VmId| self.choices.get(vm).copied().unwrap_or(0);
        let (vm, _) = self
            .loads
            .iter()
            .filter(|(vm, _)| !excluded.contains(*vm))
            .min_by(|(a, a_load), (b, b_load)| {
                a_load
                    .total_cmp(b_load)
                    .then(last_choice_of(a).cmp(&last_choice_of(b)))
            })?;
        let vm = vm.clone();
        self.last_choice += 1;
        self.choices.insert(vm.clone(), self.last_choice);
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
        self.choices.retain(|vm, _| loads.contains_key(vm));
    }

    fn record_start(&mut self, _now: Duration, _vm: &VmId, _ticket: Ticket) {}
}
