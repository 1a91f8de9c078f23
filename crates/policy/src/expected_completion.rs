//! Choice of an upstream by the time at which it is expected to have completed a request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ids::VmId;
use ids::ZoneId;

use crate::BalancedChooser;
use crate::Candidate;
use crate::Choice;
use crate::ChoiceReason;
use crate::Chooser;
use crate::Completion;
use crate::CostEstimates;
use crate::HomeWork;
use crate::RequestKind;
use crate::Ticket;
use crate::balanced_chooser::Draw;
use crate::home_view::HomeView;

/// Time for which the mean work of all homes is kept.
const MEAN_LIFETIME: Duration = Duration::from_millis(20);

/// Number of candidates of all zones that are drawn when the best one would miss the target latency.
const EXTRA_DRAWS: usize = 2;

/// Divisor of the cost of a request on an upstream that the entry knows nothing of.
const UNKNOWN_COST_DIVISOR: u32 = 2;

/// Chooses the upstream with the least expected completion time of a few that are drawn at random.
///
/// The expected completion time is the remaining work over slots and speed, the cost of the request over the speed, and the
/// distance of the zone. One candidate is drawn from all zones, and two from the entry's own zone, since a large zone distance
/// would leave no choice between one of each. If the best one would miss the target latency, more of all zones are drawn.
/// Ejection, probes, and upstreams that cannot start a request are those of [`BalancedChooser`].
#[derive(Clone, Debug)]
pub struct ExpectedCompletion {
    candidates: BTreeMap<VmId, Candidate>,
    /// Costs that homes state, by kind of request.
    costs: CostEstimates,
    draws: BalancedChooser,
    homes: BTreeMap<VmId, HomeView>,
    /// Mean reported work per slot.
    mean_work: Duration,
    mean_work_until: Duration,
    zone: ZoneId,
    zone_distance: Duration,
}

impl ExpectedCompletion {
    /// Creates a chooser for an entry in `zone`; `seed` should differ between entries.
    pub fn new(zone: ZoneId, seed: u64, zone_distance: Duration) -> Self {
        let draws = BalancedChooser::new(zone.clone(), seed);
        Self {
            candidates: BTreeMap::new(),
            costs: CostEstimates::default(),
            draws: draws.with_zone_distance(zone_distance),
            homes: BTreeMap::new(),
            mean_work: Duration::ZERO,
            mean_work_until: Duration::ZERO,
            zone,
            zone_distance,
        }
    }

    fn refresh_mean_work(&mut self, now: Duration) {
        if now < self.mean_work_until {
            return;
        }
        self.mean_work_until = now + MEAN_LIFETIME;
        let per_slot = self.candidates.values().filter_map(|candidate| {
            let home = self.homes.get(&candidate.vm)?;
            Some(home.reported_work(now, candidate.slots)? / candidate.slots.max(1))
        });
        let (sum, count) = per_slot.fold((Duration::ZERO, 0), |(sum, count), work| {
            (sum + work, count + 1)
        });
        self.mean_work = sum / count.max(1);
    }

    fn expected_time(&self, now: Duration, vm: &VmId, cost: Duration) -> Duration {
        let (Some(candidate), Some(home)) = (self.candidates.get(vm), self.homes.get(vm)) else {
            return Duration::MAX;
        };
        let slots = candidate.slots.max(1);
        let speed = home.speed(now);
        let reported = home.reported_work(now, slots);
        let work = reported.unwrap_or(self.mean_work * slots) + home.unreported_work(now);
        // Without a recent report, the entry's own latencies count. An upstream that it knows nothing of is expected to be
        // rather fast, so that it is tried.
        let cost = match (reported, self.draws.latency(now, vm)) {
            (Some(_), _) => cost,
            (None, Some(latency)) => cost.max(latency.mul_f64(speed)),
            (None, None) => cost / UNKNOWN_COST_DIVISOR,
        };
        let distance = match candidate.zone == self.zone {
            true => Duration::ZERO,
            false => self.zone_distance,
        };
        let time = (work / slots + cost).div_f64(speed);
        time.max(home.oldest_age(now)) + distance
    }

    /// Returns the best of the drawn upstreams with its expected time.
    fn best(&self, now: Duration, drawn: &[VmId], cost: Duration) -> Option<(Duration, VmId)> {
        let times = drawn
            .iter()
            .map(|vm| (self.expected_time(now, vm, cost), vm));
        let (time, vm) = times.min_by_key(|(time, _)| *time)?;
        Some((time, vm.clone()))
    }

    fn choose_by_cost(
        &mut self,
        now: Duration,
        excluded: &BTreeSet<VmId>,
        cost: Duration,
        target_latency: Duration,
    ) -> Option<Choice> {
        self.refresh_mean_work(now);
        let mut drawn = match self.draws.draw(now, excluded)? {
            Draw::Probe(vm) => {
                let reason = ChoiceReason::Probe;
                return Some(Choice { reason, vm });
            }
            Draw::Only(vm) => {
                let reason = ChoiceReason::Only;
                return Some(Choice { reason, vm });
            }
            Draw::Two(first, second) => vec![first, second],
        };
        drawn.extend(self.draws.draw_more(now, excluded, &drawn, true));
        let (time, mut vm) = self.best(now, &drawn, cost)?;
        if !target_latency.is_zero() && time > target_latency {
            for _ in 0..EXTRA_DRAWS {
                drawn.extend(self.draws.draw_more(now, excluded, &drawn, false));
            }
            vm = self.best(now, &drawn, cost)?.1;
        }
        let reason = ChoiceReason::Better;
        Some(Choice { reason, vm })
    }
}

impl Chooser for ExpectedCompletion {
    fn choose(&mut self, now: Duration, excluded: &BTreeSet<VmId>) -> Option<Choice> {
        self.choose_by_cost(now, excluded, Duration::ZERO, Duration::ZERO)
    }

    fn choose_for(
        &mut self,
        now: Duration,
        excluded: &BTreeSet<VmId>,
        kind: &RequestKind,
    ) -> Option<Choice> {
        let cost = self.costs.estimate(&kind.cost_key).mean;
        self.choose_by_cost(now, excluded, cost, kind.target_latency)
    }

    fn record_completion(
        &mut self,
        now: Duration,
        vm: &VmId,
        ticket: Ticket,
        completion: Completion,
    ) {
        if let Some(home) = self.homes.get_mut(vm) {
            home.record_end(ticket);
        }
        self.draws.record_completion(now, vm, ticket, completion);
    }

    fn record_busy(&mut self, vm: &VmId, until: Duration) {
        self.draws.record_busy(vm, until);
    }

    fn record_load(&mut self, now: Duration, vm: &VmId, load: f64) {
        self.draws.record_load(now, vm, load);
    }

    fn record_work(&mut self, now: Duration, vm: &VmId, kind: &RequestKind, work: HomeWork) {
        let Some(home) = self.homes.get_mut(vm) else {
            return;
        };
        if let Some(cost) = work.cost {
            self.costs.observe(now, &kind.cost_key, cost);
        }
        let usual_cost = self.costs.estimate(&kind.cost_key).mean;
        home.record_report(now, work, usual_cost);
    }

    fn set_candidates(&mut self, now: Duration, candidates: &[Candidate]) {
        self.draws.set_candidates(now, candidates);
        let mut known = std::mem::take(&mut self.homes);
        for candidate in candidates {
            let home = known.remove(&candidate.vm).unwrap_or_default();
            self.homes.insert(candidate.vm.clone(), home);
        }
        let by_vm = candidates
            .iter()
            .map(|candidate| (candidate.vm.clone(), candidate.clone()));
        self.candidates = by_vm.collect();
    }

    fn record_start(&mut self, now: Duration, vm: &VmId, ticket: Ticket) {
        self.draws.record_start(now, vm, ticket);
    }

    fn record_start_of(&mut self, now: Duration, vm: &VmId, ticket: Ticket, kind: &RequestKind) {
        let cost = self.costs.estimate(&kind.cost_key).mean;
        if let Some(home) = self.homes.get_mut(vm) {
            home.record_start(now, ticket, cost);
        }
        self.record_start(now, vm, ticket);
    }
}
