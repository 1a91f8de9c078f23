//! Choice of an upstream by own observations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ids::VmId;
use ids::ZoneId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Candidate;
use crate::Choice;
use crate::ChoiceReason;
use crate::Chooser;
use crate::Completion;
use crate::Ticket;
use crate::ejection::Ejection;
use crate::upstream_view::UpstreamView;

/// Latency that is assumed of an upstream without a recent answer of any; otherwise half the median.
const UNSEEN_LATENCY: Duration = Duration::from_millis(10);

/// Ratio of scores below which a difference counts.
const CLEARLY_LESS: f64 = 0.9;

/// Latency that another zone adds to a score, unless another is set.
const ZONE_DISTANCE: Duration = Duration::from_millis(3);

/// Ratio to the median latency above which an upstream is ejected.
const EJECT_RATIO: u32 = 3;

/// Ratio to the median latency up to which a probe is good.
const RETURN_RATIO: u32 = 2;

/// Differences to the median latency below this never eject.
const EJECT_FLOOR: Duration = Duration::from_millis(10);

/// Time for which the median latency is used before it is taken anew.
const MEDIAN_LIFETIME: Duration = Duration::from_millis(20);

/// Random draws before all upstreams are looked through.
const DRAWS: usize = 8;

/// Choice by own requests in flight and own view of latency: the better of two upstreams.
///
/// One of the two is of the entry's zone if possible. Load reports are a hint that fades with age.
/// Upstreams much slower than the median are ejected, at most half of them, and return after probes
/// of one request at a time, slowly.
#[derive(Clone, Debug)]
pub struct BalancedChooser {
    all: Vec<VmId>,
    distance: Duration,
    ejected: BTreeSet<VmId>,
    median: Option<Duration>,
    median_until: Duration,
    near: Vec<VmId>,
    rng: SmallRng,
    upstreams: BTreeMap<VmId, UpstreamView>,
    was_set: bool,
    zone: ZoneId,
}

impl BalancedChooser {
    /// Creates a choice for an entry in `zone`; `seed` should differ between entries.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self {
            all: Vec::new(),
            distance: ZONE_DISTANCE,
            ejected: BTreeSet::new(),
            median: None,
            median_until: Duration::ZERO,
            near: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            upstreams: BTreeMap::new(),
            was_set: false,
            zone,
        }
    }

    /// Sets the latency that another zone adds to a score, which also stands for what traffic between zones costs.
    pub fn with_zone_distance(mut self, distance: Duration) -> Self {
        self.distance = distance;
        self
    }

    /// Returns the upstreams that are ejected.
    pub fn ejected(&self) -> &BTreeSet<VmId> {
        &self.ejected
    }

    /// Takes the median latency anew if it is old, and ejects upstreams far above it.
    fn refresh(&mut self, now: Duration) {
        if now < self.median_until {
            return;
        }
        self.median_until = now + MEDIAN_LIFETIME;
        let latencies = self.upstreams.values().filter_map(|view| view.latency(now));
        let mut sorted: Vec<_> = latencies.collect();
        sorted.sort_unstable();
        let middle = sorted.len().saturating_sub(1) / 2;
        self.median = sorted.get(middle).copied();
        if let Some(median) = self.median {
            self.eject_stragglers(now, median);
        }
    }

    fn eject_stragglers(&mut self, now: Duration, median: Duration) {
        let slow_above = (median * EJECT_RATIO).max(median + EJECT_FLOOR);
        let most = self.upstreams.len() / 2;
        for (vm, view) in &mut self.upstreams {
            let is_slow = view
                .latency(now)
                .is_some_and(|latency| latency > slow_above);
            if self.ejected.len() < most && is_slow && view.ejection.is_in_use() {
                view.ejection.eject(now);
                self.ejected.insert(vm.clone());
            }
        }
    }

    fn probe(&self, now: Duration, excluded: &BTreeSet<VmId>) -> Option<VmId> {
        let wants_probe = |vm: &&VmId| self.upstreams[*vm].ejection.wants_probe(now);
        let mut candidates = self.ejected.difference(excluded);
        candidates.find(wants_probe).cloned()
    }

    /// Draws one of `vms` that is in use and not excluded.
    ///
    /// One that returns is drawn as often as its ramp allows, or if there is no other.
    fn draw(
        &mut self,
        now: Duration,
        vms: &[VmId],
        is_excluded: impl Fn(&VmId) -> bool,
    ) -> Option<VmId> {
        let part = |vm: &VmId| {
            let ejection = &self.upstreams[vm].ejection;
            (ejection.is_in_use() && !is_excluded(vm)).then(|| ejection.part(now))
        };
        if vms.is_empty() {
            return None;
        }
        let start = self.rng.random_range(0..vms.len());
        for _ in 0..DRAWS {
            let vm = &vms[self.rng.random_range(0..vms.len())];
            if part(vm).is_some_and(|part| self.rng.random::<f64>() < part) {
                return Some(vm.clone());
            }
        }
        let turned = vms[start..].iter().chain(&vms[..start]);
        let usable = turned.filter_map(|vm| Some((part(vm)?, vm)));
        let best = usable.max_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, vm)| vm.clone())
    }

    /// Draws two upstreams, the first of the entry's zone if possible.
    fn draw_two(
        &mut self,
        now: Duration,
        excluded: &BTreeSet<VmId>,
    ) -> Option<(VmId, Option<VmId>)> {
        let (near, all) = (
            std::mem::take(&mut self.near),
            std::mem::take(&mut self.all),
        );
        let is_excluded = |vm: &VmId| excluded.contains(vm);
        let first = self
            .draw(now, &near, is_excluded)
            .or_else(|| self.draw(now, &all, is_excluded));
        let second = first.as_ref().and_then(|first| {
            let is_excluded = |vm: &VmId| vm == first || excluded.contains(vm);
            self.draw(now, &all, is_excluded)
        });
        self.near = near;
        self.all = all;
        first.map(|first| (first, second))
    }

    fn score(&self, now: Duration, vm: &VmId, unseen: Duration) -> f64 {
        let view = &self.upstreams[vm];
        let distance = if view.candidate.zone == self.zone {
            Duration::ZERO
        } else {
            self.distance
        };
        view.score(now, unseen, distance)
    }
}

impl Chooser for BalancedChooser {
    fn choose(&mut self, now: Duration, excluded: &BTreeSet<VmId>) -> Option<Choice> {
        self.refresh(now);
        if let Some(vm) = self.probe(now, excluded) {
            let reason = ChoiceReason::Probe;
            return Some(Choice { reason, vm });
        }
        let (first, second) = self.draw_two(now, excluded)?;
        let Some(second) = second else {
            let reason = ChoiceReason::Only;
            return Some(Choice { reason, vm: first });
        };
        let unseen = self.median.map_or(UNSEEN_LATENCY, |median| median / 2);
        let first_score = self.score(now, &first, unseen);
        let second_score = self.score(now, &second, unseen);
        let vm = if second_score < first_score * CLEARLY_LESS {
            second
        } else {
            first
        };
        let reason = ChoiceReason::Better;
        Some(Choice { reason, vm })
    }

    fn record_completion(
        &mut self,
        now: Duration,
        vm: &VmId,
        ticket: Ticket,
        completion: Completion,
    ) {
        let Some(view) = self.upstreams.get_mut(vm) else {
            return;
        };
        let age = view.record_completion(now, ticket, completion);
        let is_fast = self
            .median
            .is_none_or(|median| age <= Some(median * RETURN_RATIO));
        let is_good = match completion {
            Completion::Answered { .. } => Some(is_fast),
            Completion::Cancelled if is_fast => None,
            Completion::Cancelled | Completion::Failed | Completion::Shed => Some(false),
        };
        view.ejection.record_completion(now, ticket, is_good);
        if view.ejection.is_in_use() {
            self.ejected.remove(vm);
        }
    }

    fn record_load(&mut self, now: Duration, vm: &VmId, load: f64) {
        if let Some(view) = self.upstreams.get_mut(vm) {
            view.record_load(now, load);
        }
    }

    fn set_candidates(&mut self, now: Duration, candidates: &[Candidate]) {
        let mut known = std::mem::take(&mut self.upstreams);
        for candidate in candidates {
            let view = match known.remove(&candidate.vm) {
                Some(mut view) => {
                    view.candidate = candidate.clone();
                    view
                }
                None if self.was_set => {
                    UpstreamView::new(candidate.clone(), Ejection::returning(now))
                }
                None => UpstreamView::new(candidate.clone(), Ejection::in_use()),
            };
            self.upstreams.insert(candidate.vm.clone(), view);
        }
        self.was_set = true;
        self.all = self.upstreams.keys().cloned().collect();
        let is_near = |candidate: &&Candidate| candidate.zone == self.zone;
        let near = candidates.iter().filter(is_near);
        self.near = near.map(|candidate| candidate.vm.clone()).collect();
        self.ejected.retain(|vm| self.upstreams.contains_key(vm));
    }

    fn record_start(&mut self, now: Duration, vm: &VmId, ticket: Ticket) {
        if let Some(view) = self.upstreams.get_mut(vm) {
            view.record_start(now, ticket);
        }
    }
}
