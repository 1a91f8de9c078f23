//! Choice of an upstream by the latency and load that the entry itself observes.

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

/// Latency assumed of an upstream without recent answers while no median is known.
///
/// Once a median is known, half of it is assumed instead.
const DEFAULT_LATENCY: Duration = Duration::from_millis(10);

/// Ratio of the second score to the first below which the second of two upstreams is chosen.
const BETTER_SCORE_RATIO: f64 = 0.9;

/// Default latency that is added to the scores of upstreams in other zones.
const DEFAULT_ZONE_DISTANCE: Duration = Duration::from_millis(3);

/// Multiple of the median latency above which an upstream is ejected.
const EJECTION_RATIO: u32 = 3;

/// Multiple of the median latency up to which a probe succeeds.
const GOOD_PROBE_RATIO: u32 = 2;

/// Difference to the median latency up to which an upstream is never ejected.
const MIN_EJECTION_DIFFERENCE: Duration = Duration::from_millis(10);

/// Time after which the median latency is computed again.
const MEDIAN_LIFETIME: Duration = Duration::from_millis(20);

/// Random draws before all upstreams are searched in order.
const MAX_DRAWS: usize = 8;

/// Upstreams that were drawn at random.
#[derive(Clone, Debug)]
pub(crate) enum Draw {
    /// No other can be used.
    Only(VmId),
    /// An ejected upstream, to be probed.
    Probe(VmId),
    /// Two upstreams, the first in the entry's zone if possible.
    Two(VmId, VmId),
}

/// Chooses the better of two randomly drawn upstreams by the entry's own requests in flight and the
/// latency that it observes.
///
/// The first of the two is in the entry's zone if possible. Load reports add to a score with a weight
/// that decreases with their age. Upstreams much slower than the median are ejected, at most half of
/// them. An ejected upstream is probed with one request at a time, and after successful probes its
/// share of requests increases slowly. Upstreams whose homes cannot start a request now are chosen only if
/// there is no other.
#[derive(Clone, Debug)]
pub struct BalancedChooser {
    all: Vec<VmId>,
    /// Upstreams that limit the rate of requests, with the time until which their homes cannot start another one.
    busy: BTreeMap<VmId, Duration>,
    zone_distance: Duration,
    ejected: BTreeSet<VmId>,
    median: Option<Duration>,
    median_until: Duration,
    same_zone: Vec<VmId>,
    rng: SmallRng,
    upstreams: BTreeMap<VmId, UpstreamView>,
    has_candidates: bool,
    zone: ZoneId,
}

impl BalancedChooser {
    /// Creates a chooser for an entry in `zone`; `seed` should differ between entries.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self {
            all: Vec::new(),
            busy: BTreeMap::new(),
            zone_distance: DEFAULT_ZONE_DISTANCE,
            ejected: BTreeSet::new(),
            median: None,
            median_until: Duration::ZERO,
            same_zone: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            upstreams: BTreeMap::new(),
            has_candidates: false,
            zone,
        }
    }

    /// Sets the latency that is added to the scores of upstreams in other zones.
    ///
    /// It also accounts for the cost of traffic between zones.
    pub fn with_zone_distance(mut self, zone_distance: Duration) -> Self {
        self.zone_distance = zone_distance;
        self
    }

    /// Returns the ejected upstreams.
    pub fn ejected(&self) -> &BTreeSet<VmId> {
        &self.ejected
    }

    /// Computes the median latency again if it is out of date, and ejects upstreams far above it.
    fn refresh_median(&mut self, now: Duration) {
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
        let slow_above = (median * EJECTION_RATIO).max(median + MIN_EJECTION_DIFFERENCE);
        let max_ejected = self.upstreams.len() / 2;
        for (vm, view) in &mut self.upstreams {
            let is_slow = view
                .latency(now)
                .is_some_and(|latency| latency > slow_above);
            if self.ejected.len() < max_ejected && is_slow && view.ejection.is_in_use() {
                view.ejection.eject(now);
                self.ejected.insert(vm.clone());
            }
        }
    }

    fn find_probe_target(&self, now: Duration, excluded: &BTreeSet<VmId>) -> Option<VmId> {
        let is_probe_due = |vm: &&VmId| self.upstreams[*vm].ejection.is_probe_due(now);
        let mut candidates = self.ejected.difference(excluded);
        candidates.find(is_probe_due).cloned()
    }

    /// Draws one of `vms` at random that is in use and not excluded.
    ///
    /// An upstream that is ramping up is drawn in proportion to its share, or if no random draw
    /// succeeds and none has a larger share.
    fn draw_one(
        &mut self,
        now: Duration,
        vms: &[VmId],
        is_excluded: impl Fn(&VmId) -> bool,
    ) -> Option<VmId> {
        let share = |vm: &VmId| {
            let ejection = &self.upstreams[vm].ejection;
            (ejection.is_in_use() && !is_excluded(vm)).then(|| ejection.share(now))
        };
        if vms.is_empty() {
            return None;
        }
        let start = self.rng.random_range(0..vms.len());
        for _ in 0..MAX_DRAWS {
            let vm = &vms[self.rng.random_range(0..vms.len())];
            if share(vm).is_some_and(|share| self.rng.random::<f64>() < share) {
                return Some(vm.clone());
            }
        }
        let rotated = vms[start..].iter().chain(&vms[..start]);
        let usable = rotated.filter_map(|vm| Some((share(vm)?, vm)));
        let best = usable.max_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, vm)| vm.clone())
    }

    /// Returns the latency of an upstream that was observed recently.
    pub(crate) fn latency(&self, now: Duration, vm: &VmId) -> Option<Duration> {
        self.upstreams.get(vm)?.latency(now)
    }

    /// Draws an upstream to probe, or two upstreams to choose from.
    pub(crate) fn draw(&mut self, now: Duration, excluded: &BTreeSet<VmId>) -> Option<Draw> {
        self.refresh_median(now);
        if let Some(vm) = self.find_probe_target(now, excluded) {
            return Some(Draw::Probe(vm));
        }
        let (first, second) = self.draw_candidates(now, excluded)?;
        Some(match second {
            Some(second) => Draw::Two(first, second),
            None => Draw::Only(first),
        })
    }

    /// Draws another upstream that is not busy, in the entry's zone or in any zone.
    pub(crate) fn draw_more(
        &mut self,
        now: Duration,
        excluded: &BTreeSet<VmId>,
        drawn: &[VmId],
        is_in_zone: bool,
    ) -> Option<VmId> {
        let busy = std::mem::take(&mut self.busy);
        let vms = std::mem::take(match is_in_zone {
            true => &mut self.same_zone,
            false => &mut self.all,
        });
        let is_excluded =
            |vm: &VmId| excluded.contains(vm) || drawn.contains(vm) || busy.contains_key(vm);
        let more = self.draw_one(now, &vms, is_excluded);
        self.busy = busy;
        match is_in_zone {
            true => self.same_zone = vms,
            false => self.all = vms,
        }
        more
    }

    /// Draws two upstreams that are not busy, or any two if all are.
    fn draw_candidates(
        &mut self,
        now: Duration,
        excluded: &BTreeSet<VmId>,
    ) -> Option<(VmId, Option<VmId>)> {
        self.busy.retain(|_, until| *until > now);
        if self.busy.is_empty() {
            return self.draw_two(now, excluded);
        }
        let mut avoided = excluded.clone();
        avoided.extend(self.busy.keys().cloned());
        self.draw_two(now, &avoided)
            .or_else(|| self.draw_two(now, excluded))
    }

    /// Draws two upstreams, the first in the entry's zone if possible.
    fn draw_two(
        &mut self,
        now: Duration,
        excluded: &BTreeSet<VmId>,
    ) -> Option<(VmId, Option<VmId>)> {
        let (same_zone, all) = (
            std::mem::take(&mut self.same_zone),
            std::mem::take(&mut self.all),
        );
        let is_excluded = |vm: &VmId| excluded.contains(vm);
        let first = self
            .draw_one(now, &same_zone, is_excluded)
            .or_else(|| self.draw_one(now, &all, is_excluded));
        let second = first.as_ref().and_then(|first| {
            let is_excluded = |vm: &VmId| vm == first || excluded.contains(vm);
            self.draw_one(now, &all, is_excluded)
        });
        self.same_zone = same_zone;
        self.all = all;
        first.map(|first| (first, second))
    }

    fn score(&self, now: Duration, vm: &VmId, default_latency: Duration) -> f64 {
        let view = &self.upstreams[vm];
        let zone_distance = if view.candidate.zone == self.zone {
            Duration::ZERO
        } else {
            self.zone_distance
        };
        view.score(now, default_latency, zone_distance)
    }
}

impl Chooser for BalancedChooser {
    fn choose(&mut self, now: Duration, excluded: &BTreeSet<VmId>) -> Option<Choice> {
        let (first, second) = match self.draw(now, excluded)? {
            Draw::Probe(vm) => {
                let reason = ChoiceReason::Probe;
                return Some(Choice { reason, vm });
            }
            Draw::Only(vm) => {
                let reason = ChoiceReason::Only;
                return Some(Choice { reason, vm });
            }
            Draw::Two(first, second) => (first, second),
        };
        let default_latency = self.median.map_or(DEFAULT_LATENCY, |median| median / 2);
        let first_score = self.score(now, &first, default_latency);
        let second_score = self.score(now, &second, default_latency);
        let vm = if second_score < first_score * BETTER_SCORE_RATIO {
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
            .is_none_or(|median| age <= Some(median * GOOD_PROBE_RATIO));
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

    fn record_busy(&mut self, vm: &VmId, until: Duration) {
        self.busy.insert(vm.clone(), until);
    }

    fn record_load(&mut self, now: Duration, vm: &VmId, load: f64) {
        if let Some(view) = self.upstreams.get_mut(vm) {
            view.record_load(now, load);
        }
    }

    fn set_candidates(&mut self, now: Duration, candidates: &[Candidate]) {
        let mut previous = std::mem::take(&mut self.upstreams);
        for candidate in candidates {
            let view = match previous.remove(&candidate.vm) {
                Some(mut view) => {
                    view.candidate = candidate.clone();
                    view
                }
                None if self.has_candidates => {
                    UpstreamView::new(candidate.clone(), Ejection::ramping_up(now))
                }
                None => UpstreamView::new(candidate.clone(), Ejection::in_use()),
            };
            self.upstreams.insert(candidate.vm.clone(), view);
        }
        self.has_candidates = true;
        self.all = self.upstreams.keys().cloned().collect();
        let is_same_zone = |candidate: &&Candidate| candidate.zone == self.zone;
        let same_zone = candidates.iter().filter(is_same_zone);
        self.same_zone = same_zone.map(|candidate| candidate.vm.clone()).collect();
        self.ejected.retain(|vm| self.upstreams.contains_key(vm));
        self.busy.retain(|vm, _| self.upstreams.contains_key(vm));
    }

    fn record_start(&mut self, now: Duration, vm: &VmId, ticket: Ticket) {
        if let Some(view) = self.upstreams.get_mut(vm) {
            view.record_start(now, ticket);
        }
    }
}
