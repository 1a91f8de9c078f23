//! Drawn loads on a service during a roll-out, and their replay.

use std::f64::consts::TAU;
use std::ops::Range;
use std::time::Duration;

use ids::VmId;
use policy::RolloutDecider;
use policy::RolloutDecision;
use policy::RolloutJudge;
use policy::RolloutPhase;
use policy::RolloutSchedule;
use policy::RolloutVerdict;
use policy::RolloutView;
use policy::UpstreamEvidence;
use policy::VersionGroup;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const STEP: Duration = Duration::from_millis(50);

/// Steps between two reports of a home.
const REPORT_STEPS: u32 = 5;

/// Kinds of a bad version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// A fraction of the answers fails.
    Failures,
    /// A fraction of the answers takes four times as long.
    Slow,
}

/// Time or load at which a fault shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum When {
    Always,
    /// In the second half of the trial.
    Later,
    /// While the trial gets its largest share.
    UnderLoad,
}

/// Ranges from which a load is drawn.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    pub(crate) burst: bool,
    pub(crate) cold: bool,
    /// Fraction of the duration after which the judge gets its first report.
    pub(crate) first_report: f64,
    pub(crate) fault: Option<(Fault, When)>,
    pub(crate) faulty_routes: Range<usize>,
    pub(crate) lost_reports: f64,
    /// Fraction of the answers of both versions that takes three times as long.
    pub(crate) noise: f64,
    /// Requests per second.
    pub(crate) rate: Range<f64>,
    /// Fraction of the reports before which the home restarts, and its counts with it.
    pub(crate) restarts: f64,
    pub(crate) slow_neighbour: bool,
    pub(crate) trial_upstreams: Range<usize>,
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            burst: false,
            cold: false,
            first_report: 0.0,
            fault: None,
            faulty_routes: 0..usize::MAX,
            lost_reports: 0.02,
            noise: 0.0,
            rate: 100.0..800.0,
            restarts: 0.0,
            slow_neighbour: false,
            trial_upstreams: 1..9,
        }
    }
}

/// Outcome of a replay.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replay {
    /// Bad answers by the fault before the verdict that the version is bad.
    pub(crate) bad_answers: u32,
    /// Time from the 50th of them, or the first report if that is later, to the verdict or to the end without one.
    pub(crate) late: Duration,
    pub(crate) is_promoted: bool,
    pub(crate) reason: Option<String>,
}

struct Upstream {
    evidence: UpstreamEvidence,
    group: VersionGroup,
    report_step: u32,
    speed: f64,
    vm: VmId,
}

struct Route {
    median_ms: f64,
    name: String,
    weight: f64,
}

/// Load that is drawn from a kind.
struct Load {
    burst: Range<f64>,
    burst_factor: f64,
    failures: f64,
    kind: Kind,
    random: SmallRng,
    rate: f64,
    routes: Vec<Route>,
    schedule: RolloutSchedule,
    spread: f64,
    upstreams: Vec<Upstream>,
}

impl Load {
    fn draw(kind: &Kind, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let duration = random.random_range(12.0..40.0);
        let burst_start = random.random_range(0.0..duration);
        let routes = (0..random.random_range(1..7)).map(|index| Route {
            median_ms: 5.0 * 40_f64.powf(random.random()),
            name: format!("route-{index}"),
            weight: 1.0 / f64::from(index + 1),
        });
        let routes = routes.collect();
        let count = random.random_range(kind.trial_upstreams.clone());
        let groups = [
            (VersionGroup::Current, random.random_range(2..24)),
            (VersionGroup::Trial, count),
        ];
        let mut upstreams = Vec::new();
        for (group, count) in groups {
            for index in 0..count {
                upstreams.push(Upstream {
                    evidence: UpstreamEvidence::default(),
                    group,
                    report_step: random.random_range(0..REPORT_STEPS),
                    speed: random.random_range(0.8..1.25),
                    vm: format!("{group:?}-{index}"),
                });
            }
        }
        if kind.slow_neighbour {
            upstreams.last_mut().expect("there are some").speed /= 5.0;
        }
        Self {
            burst: burst_start..burst_start + random.random_range(1.0..8.0),
            burst_factor: random.random_range(1.5..4.0),
            failures: random.random_range(0.0..0.02),
            kind: kind.clone(),
            rate: random.random_range(kind.rate.clone()),
            routes,
            schedule: RolloutSchedule::new(Duration::from_secs_f64(duration), 0.1),
            spread: random.random_range(0.2..0.6),
            upstreams,
            random,
        }
    }

    /// Draws an answer at `time` seconds while the trial gets `share`. Reports whether the fault makes it a bad one.
    fn answer(&mut self, time: f64, share: f64) -> bool {
        let random = &mut self.random;
        let is_trial = random.random::<f64>() < share;
        let first_trial = self
            .upstreams
            .iter()
            .position(|upstream| upstream.group == VersionGroup::Trial);
        let first_trial = first_trial.expect("there is one");
        let range = if is_trial {
            first_trial..self.upstreams.len()
        } else {
            0..first_trial
        };
        let upstream = &mut self.upstreams[random.random_range(range)];
        let weights: f64 = self.routes.iter().map(|route| route.weight).sum();
        let mut rest = random.random::<f64>() * weights;
        let is_drawn = |route: &Route| {
            rest -= route.weight;
            rest <= 0.0
        };
        let index = self.routes.iter().position(is_drawn).unwrap_or_default();
        let route = &self.routes[index];
        let normal = (-2.0 * random.random::<f64>().max(1e-12).ln()).sqrt()
            * (TAU * random.random::<f64>()).cos();
        let in_burst = self.kind.burst && self.burst.contains(&time);
        let median_ms = route.median_ms * if in_burst { self.burst_factor } else { 1.0 };
        let mut ms = median_ms * (normal * self.spread).exp() / upstream.speed;
        if random.random::<f64>() < self.kind.noise {
            ms *= 3.0;
        }
        if is_trial && self.kind.cold {
            // Homes count from 2 s on.
            ms *= 1.0 + 2.0 * (-time - 2.0).exp();
        }
        let progress = time / self.schedule.duration().as_secs_f64();
        let is_faulty = |when: &When| match when {
            When::Always => true,
            When::Later => progress >= 0.35,
            When::UnderLoad => share >= 0.08,
        };
        let fault = self.kind.fault.filter(|(_, when)| {
            is_trial && self.kind.faulty_routes.contains(&index) && is_faulty(when)
        });
        let fault = fault.filter(|_| random.random::<f64>() < 0.3);
        if matches!(fault, Some((Fault::Slow, _))) {
            ms *= 4.0;
        }
        let has_failed =
            matches!(fault, Some((Fault::Failures, _))) || random.random::<f64>() < self.failures;
        if has_failed {
            upstream.evidence.record_failure(&route.name);
        } else {
            upstream
                .evidence
                .record_answer(&route.name, Duration::from_secs_f64(ms / 1_000.0));
        }
        fault.is_some() && (has_failed || ms > 2.5 * median_ms)
    }
}

/// Replays a load that is drawn from `kind`, up to the verdict that the version is bad or the completion.
pub(crate) fn replay(kind: &Kind, seed: u64) -> Replay {
    let mut load = Load::draw(kind, seed);
    let start = Duration::from_secs_f64(load.random.random_range(100.0..101.0));
    let mut decider = RolloutDecider::new(load.schedule);
    let mut judge = RolloutJudge::default();
    let mut promoted = None;
    let mut replay = Replay::default();
    let mut fiftieth = None;
    let mut next_answer = 0.0;
    for step in 1.. {
        let since_order = step * STEP;
        let since_promoted = promoted.map(|at| since_order - at);
        let share = match since_promoted {
            Some(since) => load.schedule.promoting_share(since),
            None => load.schedule.trial_share(since_order),
        };
        while next_answer < since_order.as_secs_f64() {
            let in_burst = kind.burst && load.burst.contains(&next_answer);
            let rate = load.rate * if in_burst { 1.7 } else { 1.0 };
            if load.answer(next_answer, share) {
                replay.bad_answers += 1;
                if replay.bad_answers == 50 {
                    fiftieth = Some(since_order);
                }
            }
            next_answer -= (1.0 - load.random.random::<f64>()).ln() / rate;
        }
        let now = start + since_order;
        let first_report = load.schedule.duration().mul_f64(kind.first_report);
        for upstream in &mut load.upstreams {
            let is_due = step % REPORT_STEPS == upstream.report_step && since_order >= first_report;
            if is_due && load.random.random::<f64>() < kind.restarts {
                upstream.evidence = UpstreamEvidence::default();
            }
            if is_due && load.random.random::<f64>() >= kind.lost_reports {
                judge.record(now, &upstream.vm, upstream.group, &upstream.evidence);
            }
        }
        if step % REPORT_STEPS != 0 {
            continue;
        }
        let view = RolloutView {
            has_keys: false,
            has_trial_upstream: true,
            old_members: Vec::new(),
            phase: since_promoted.map_or(RolloutPhase::Trial, |since_promoted| {
                RolloutPhase::Promoting { since_promoted }
            }),
            since_order,
            verdict: judge.verdict(now),
        };
        if let RolloutVerdict::Bad { reason } = &view.verdict {
            replay.reason = Some(reason.clone());
        }
        let is_over = since_order >= load.schedule.closing_start();
        if replay.reason.is_some() || is_over {
            replay.late = fiftieth.map_or(Duration::ZERO, |at| since_order - at.max(first_report));
            return replay;
        }
        if decider.decide(&view) == RolloutDecision::Promote {
            promoted = Some(since_order);
            replay.is_promoted = true;
        }
    }
    replay
}
