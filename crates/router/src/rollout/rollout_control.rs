//! This process's part in roll-outs: what its control thread decides, reports and publishes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cluster::Body;
use cluster::Fleet;
use cluster::Member;
use cluster::Rollout;
use cluster::RolloutOrder;
use cluster::RolloutRecord;
use cluster::RolloutState;
use cluster::RolloutStep;
use ids::Offset;
use ids::ServiceId;
use membership::Agent;
use policy::RolloutDecision;
use policy::RolloutSchedule;
use telemetry::ProcessEvent;
use tokio::sync::oneshot;
use wire::Datagram;
use wire::RolloutPermit;
use wire::RolloutReport;
use wire::RolloutRoute;
use wire::RolloutVerdict;

use crate::clock::milliseconds;
use crate::clock::unix_ms;
use crate::home::Home;
use crate::rollout::Rollouts;
use crate::rollout::ServiceRollout;
use crate::rollout::StatusJob;
use crate::rollout::StatusWriter;
use crate::rollout::decided_rollout::DecidedRollout;
use crate::rollout::known_permits::KnownPermits;
use crate::rollout::rollout_status::RolloutStatus;
use crate::rollout::rollout_status::RouteStatus;
use crate::rollout::status_turns::StatusTurns;
use crate::rollout::status_turns::is_published;
use crate::rollout::step_appends::StepAppends;
use crate::rollout::step_appends::StepKind;
use crate::settings::RolloutSettings;
use crate::shared::Shared;

/// Time between two reports of a home, and between two permits of a decider.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time for which a home of a version on trial starts requests after the last permit.
const MAX_PERMIT_TIME: Duration = Duration::from_secs(2);

/// Divisor of the time limit of a rollback that gives the time of a permit.
const PERMIT_TIME_DIVISOR: u32 = 2;

/// Time for which all members of the fleet get each permit with a rollback. Later ones go to the members of the service, and
/// now and then to all, until the log holds the rollback.
const BROADCAST_TIME: Duration = Duration::from_secs(2);

/// Number of intervals between two permits with a rollback to all members after [`BROADCAST_TIME`].
const BROADCAST_INTERVALS: u64 = 8;

/// Bounds of this process's part in the settings of a fleet that does not support roll-outs. What the log holds is followed
/// all the same.
const DEFAULT_MAX_SHARE: f64 = 0.1;

/// Components that roll-outs use.
pub(crate) struct RolloutParts {
    pub(crate) home: Arc<Home>,
    pub(crate) shared: Arc<Shared>,
    /// Writer of the status, `None` if there is nobody to read it.
    pub(crate) status_writer: Option<StatusWriter>,
}

/// What a tick of the roll-outs asks the control thread to do.
#[derive(Default)]
pub(crate) struct RolloutActions {
    /// Records to append, each with the sender that signals that it was read back.
    pub(crate) appends: Vec<(Body, oneshot::Sender<()>)>,
    /// Datagrams to send.
    pub(crate) datagrams: Vec<(Datagram, SocketAddr)>,
    /// Present share of the trial of this process's service in its shards, if it has changed.
    pub(crate) trial_share: Option<f64>,
}

/// This process's part in roll-outs.
pub(crate) struct RolloutControl {
    appends: StepAppends,
    /// Roll-outs that this process decides on.
    decided: BTreeMap<ServiceId, DecidedRollout>,
    exchanges: u64,
    next_exchange: Duration,
    parts: RolloutParts,
    permits: KnownPermits,
    /// When this process read that a version was promoted, by service.
    promoted_at: BTreeMap<ServiceId, (Offset, Duration)>,
    /// When this process learned of a rollback by a decider, by service.
    rolled_back_at: BTreeMap<ServiceId, (Offset, Duration)>,
    sequence: u64,
    /// Last state of each roll-out that was logged, with the greatest position of its orders.
    seen: BTreeMap<ServiceId, (Offset, RolloutState, Offset)>,
    starts_until: Option<Duration>,
    status_turns: StatusTurns,
    trial_share: f64,
    view: Arc<Rollouts>,
}

impl RolloutControl {
    pub(crate) fn new(parts: RolloutParts) -> Self {
        Self {
            appends: StepAppends::default(),
            decided: BTreeMap::new(),
            exchanges: 0,
            next_exchange: Duration::ZERO,
            parts,
            permits: KnownPermits::default(),
            promoted_at: BTreeMap::new(),
            rolled_back_at: BTreeMap::new(),
            sequence: 0,
            seen: BTreeMap::new(),
            starts_until: None,
            status_turns: StatusTurns::default(),
            trial_share: 0.0,
            view: Arc::default(),
        }
    }

    /// Returns the roll-outs for traffic threads.
    pub(crate) fn view(&self) -> Arc<Rollouts> {
        Arc::clone(&self.view)
    }

    /// Returns the time from which no request is started on the upstream because of its version, `None` for no such time.
    pub(crate) fn starts_until(&self) -> Option<Duration> {
        self.starts_until
    }

    /// Records the report of a home, if this process is a decider of its roll-out.
    pub(crate) fn record_report(&mut self, now: Duration, fleet: &Fleet, report: &RolloutReport) {
        let decided = self.decided.get_mut(&report.service);
        let decided = decided.filter(|decided| decided.position == report.position);
        if let (Some(decided), Some(rollout)) = (decided, fleet.rollout(&report.service)) {
            decided.record(now, fleet, rollout, report);
        }
    }

    /// Records the permit of a decider.
    pub(crate) fn record_permit(&mut self, now: Duration, fleet: &Fleet, permit: &RolloutPermit) {
        let sender = fleet.members().get(&permit.vm);
        if sender.is_some_and(|sender| sender.incarnation == permit.incarnation) {
            self.permits.record(now, permit);
        }
    }

    /// Records whether a status was written, and states it in the log if it was.
    pub(crate) fn record_status(
        &mut self,
        now: Duration,
        job: &StatusJob,
        is_written: bool,
    ) -> RolloutActions {
        let mut actions = RolloutActions::default();
        self.status_turns.record_result(now, job, is_written);
        if is_written {
            let step = RolloutStep::Published { state: job.state };
            self.append(now, &job.service, job.position, step, &mut actions);
        }
        actions
    }

    /// Updates what traffic threads see to the state of the fleet.
    pub(crate) fn refresh(&mut self, now: Duration, agent: &Agent) {
        let fleet = agent.fleet();
        if fleet.rollouts().is_empty() && self.view.is_empty() {
            return;
        }
        self.observe_states(now, fleet);
        let view = self.service_rollouts(now, fleet);
        if view != *self.view {
            self.view = Arc::new(view);
        }
        self.starts_until = self.own_starts_until(now, agent);
    }

    /// Takes this process's part in all roll-outs.
    pub(crate) fn tick(&mut self, now: Duration, agent: &Agent) -> RolloutActions {
        self.refresh(now, agent);
        let mut actions = RolloutActions::default();
        let fleet = agent.fleet();
        self.write_statuses(now, fleet);
        actions.trial_share = self.changed_trial_share(agent);
        if now >= self.next_exchange {
            self.next_exchange = now + EXCHANGE_INTERVAL;
            self.exchanges += 1;
            self.update_decided(fleet);
            self.report_evidence(now, agent, &mut actions);
            self.decide(now, fleet, &mut actions);
            self.publish_report(now, fleet);
            // Verdicts of this process take effect here at once.
            self.refresh(now, agent);
        }
        actions
    }

    fn settings(&self) -> Option<&RolloutSettings> {
        self.parts.shared.rollout.as_ref()
    }

    fn max_share(&self) -> f64 {
        self.settings()
            .map_or(DEFAULT_MAX_SHARE, RolloutSettings::max_share)
    }

    fn schedule(&self, order: &RolloutOrder) -> RolloutSchedule {
        RolloutSchedule::new(Duration::from_millis(order.duration_ms), self.max_share())
    }

    /// Returns the time for which a permit holds. A rollback whose permits are lost takes effect when it ends.
    fn permit_time(&self) -> Duration {
        let timeout = self.settings().map(|settings| settings.rollback_timeout);
        timeout.map_or(MAX_PERMIT_TIME, |timeout| {
            MAX_PERMIT_TIME.min(timeout / PERMIT_TIME_DIVISOR)
        })
    }

    /// Logs the states that have changed, and notes when a version was promoted.
    fn observe_states(&mut self, now: Duration, fleet: &Fleet) {
        for (service, rollout) in fleet.rollouts() {
            let position = rollout.order.position;
            let state = (position, rollout.state, rollout.handled_position);
            let last = self.seen.insert(service.clone(), state);
            if last == Some(state) {
                continue;
            }
            let is_changed =
                last.is_none_or(|(at, last, _)| at != position || last != rollout.state);
            if is_changed {
                self.log_state(service, rollout);
            } else {
                self.parts.shared.log_event(ProcessEvent::RolloutOrderRefused {
                    service: service.clone(),
                    problem: match &rollout.reason {
                        Some(reason) => reason.clone(),
                        None => format!(
                            "the order at position {} repeats the one that is being carried out",
                            rollout.handled_position
                        ),
                    },
                });
            }
            match rollout.state {
                RolloutState::Promoting => {
                    let known = self.promoted_at.get(service);
                    if known.is_none_or(|(at, _)| *at != position) {
                        self.promoted_at.insert(service.clone(), (position, now));
                    }
                }
                _ => {
                    self.promoted_at.remove(service);
                }
            }
            self.appends.drop_before(service, position);
        }
        self.seen
            .retain(|service, _| fleet.rollout(service).is_some());
    }

    fn log_state(&self, service: &ServiceId, rollout: &Rollout) {
        let state = state_name(rollout.state);
        self.parts.shared.metrics.count_event("rollout", state);
        self.parts.shared.log_event(ProcessEvent::RolloutChanged {
            service: service.clone(),
            target_version: rollout.order.target_version.clone(),
            state: state.to_owned(),
            reason: rollout.reason.clone().unwrap_or_default(),
        });
    }

    fn service_rollouts(&self, now: Duration, fleet: &Fleet) -> Rollouts {
        let (entry_phase, extra_requests) = self.entry_part(fleet);
        let service_rollout = |(service, rollout): (&ServiceId, &Rollout)| {
            let service_rollout = ServiceRollout {
                entry_phase,
                extra_requests,
                is_condemned: self.is_condemned(service, rollout),
                max_share: self.max_share(),
                recorded: rollout.clone(),
                share: self.present_share(now, service, rollout),
            };
            (service.clone(), service_rollout)
        };
        fleet.rollouts().iter().map(service_rollout).collect()
    }

    /// Returns the position of this process among the entries from 0 to 1, and its part of the extra requests.
    fn entry_part(&self, fleet: &Fleet) -> (f64, f64) {
        let me = &self.parts.shared.vm;
        let members = fleet.members();
        let rank = members.keys().take_while(|vm| *vm < me).count();
        let count = members.len() + usize::from(!members.contains_key(me));
        let extra = self
            .settings()
            .map_or(0, |settings| settings.max_extra_requests);
        let count = count as f64;
        ((rank as f64 + 0.5) / count, extra as f64 / count)
    }

    /// Returns the present share of the target version in the requests of a service without keys.
    fn present_share(&self, now: Duration, service: &ServiceId, rollout: &Rollout) -> f64 {
        let schedule = self.schedule(&rollout.order);
        match rollout.state {
            RolloutState::Trial => schedule.trial_share(since_order(&rollout.order)),
            RolloutState::Promoting => schedule.promoting_share(self.since_promoted(now, service)),
            RolloutState::Completed => 1.0,
            RolloutState::RolledBack => 0.0,
        }
    }

    fn since_promoted(&self, now: Duration, service: &ServiceId) -> Duration {
        let promoted_at = self.promoted_at.get(service);
        promoted_at.map_or(Duration::ZERO, |(_, at)| now.saturating_sub(*at))
    }

    /// Reports whether a decider has rolled a version back. The log decides if it holds the completion.
    fn is_condemned(&self, service: &ServiceId, rollout: &Rollout) -> bool {
        let rollback = self.permits.rollback(service, rollout.order.position);
        rollback.is_some() && rollout.state != RolloutState::Completed
    }

    /// Returns the time from which no request is started on the local upstream because of its version.
    fn own_starts_until(&self, now: Duration, agent: &Agent) -> Option<Duration> {
        let upstream = agent.upstream()?;
        let service = &upstream.service;
        let rollout = self.view.get(service)?;
        let recorded = &rollout.recorded;
        let is_target = upstream.version == recorded.order.target_version;
        if recorded.replaced_versions.contains(&upstream.version) {
            return Some(Duration::ZERO);
        }
        match recorded.state {
            RolloutState::Trial | RolloutState::Promoting if is_target => {
                let confirmed_at = self.permits.confirmed_at(service, recorded.order.position);
                let until = confirmed_at.map(|at| at + self.permit_time());
                let until = until.filter(|_| !rollout.is_condemned);
                Some(until.unwrap_or_default())
            }
            RolloutState::Promoting if !rollout.is_condemned => {
                let refuses = self.old_home_refuses(now, agent.fleet(), service, recorded);
                refuses.then_some(Duration::ZERO)
            }
            _ => None,
        }
    }

    /// Reports whether an old home of a service refuses requests while the target version is promoted. Old homes of a service
    /// with keys serve their units until these have moved.
    fn old_home_refuses(
        &self,
        now: Duration,
        fleet: &Fleet,
        service: &ServiceId,
        rollout: &Rollout,
    ) -> bool {
        let service_config = fleet.plans().services.get(service);
        let is_keyed = service_config.is_some_and(|service_config| service_config.is_keyed());
        let since_promoted = self.since_promoted(now, service);
        !is_keyed
            && self
                .schedule(&rollout.order)
                .old_homes_refuse(since_promoted)
    }

    /// Returns the rank of this process among the members that take turns, `None` if it is no member.
    fn own_rank(&self, fleet: &Fleet) -> Option<usize> {
        let ranked = fleet.ranked_publishers();
        ranked.iter().position(|vm| **vm == self.parts.shared.vm)
    }

    fn write_statuses(&mut self, now: Duration, fleet: &Fleet) {
        if fleet.rollouts().values().all(is_published) {
            return;
        }
        let Some(rank) = self.own_rank(fleet) else {
            return;
        };
        let Some(writer) = &self.parts.status_writer else {
            return;
        };
        for (service, rollout) in fleet.rollouts() {
            if let Some(job) = self.status_turns.next(now, service, rollout, rank)
                && !writer.write(job.clone())
            {
                self.status_turns.record_result(now, &job, false);
            }
        }
    }

    /// Returns the share of the trial of this process's service in its shards, if it has changed.
    fn changed_trial_share(&mut self, agent: &Agent) -> Option<f64> {
        let upstream = agent.upstream()?;
        let rollout = self.view.get(&upstream.service);
        let is_trial = rollout.is_some_and(|rollout| {
            rollout.recorded.state == RolloutState::Trial && !rollout.is_condemned
        });
        let share = rollout
            .filter(|_| is_trial)
            .map_or(0.0, |rollout| rollout.share);
        let is_changed = share.to_bits() != self.trial_share.to_bits();
        self.trial_share = share;
        is_changed.then_some(share)
    }

    /// Begins and ends this process's duty as a decider.
    fn update_decided(&mut self, fleet: &Fleet) {
        let me = &self.parts.shared.vm;
        let is_supported = self.parts.shared.rollout.is_some();
        let is_decider = |service: &ServiceId, rollout: &Rollout| {
            is_supported
                && !rollout.state.is_ended()
                && fleet.rollout_deciders(service).contains(&me)
        };
        self.decided.retain(|service, decided| {
            let rollout = fleet.rollout(service);
            rollout.is_some_and(|rollout| {
                rollout.order.position == decided.position && is_decider(service, rollout)
            })
        });
        for (service, rollout) in fleet.rollouts() {
            if is_decider(service, rollout) && !self.decided.contains_key(service) {
                let schedule = self.schedule(&rollout.order);
                let position = rollout.order.position;
                let decided = DecidedRollout::new(service, position, schedule);
                self.decided.insert(service.clone(), decided);
            }
        }
    }

    /// Reports the evidence of this process's home to the deciders of its service.
    fn report_evidence(&mut self, now: Duration, agent: &Agent, actions: &mut RolloutActions) {
        let fleet = agent.fleet();
        let me = fleet.members().get(&self.parts.shared.vm);
        let rollout = me.and_then(|me| fleet.rollout(&me.join.service));
        let rollout = rollout.filter(|rollout| !rollout.state.is_ended());
        let position = rollout.map(|rollout| rollout.order.position);
        let evidence = self.parts.home.collect_evidence(position);
        let (Some(me), Some(rollout)) = (me, rollout) else {
            return;
        };
        let routes = evidence.routes.into_iter().map(|(name, route)| {
            let counts = route.latencies.counts();
            let used = counts.iter().rposition(|count| *count > 0);
            RolloutRoute {
                name,
                answers: route.answers,
                failures: route.failures,
                buckets: counts[..used.map_or(0, |last| last + 1)].to_vec(),
            }
        });
        // A home that still accepts requests can be idle between two of them.
        let service_config = fleet.plans().services.get(&me.join.service);
        let is_settled = service_config.is_none_or(|service_config| service_config.is_keyed())
            || self.old_home_refuses(now, fleet, &me.join.service, rollout);
        let report = RolloutReport {
            service: me.join.service.clone(),
            position: rollout.order.position,
            vm: me.join.vm.clone(),
            incarnation: me.incarnation,
            sequence: self.sequence,
            idle: self.parts.home.count_requests() == (0, 0),
            has_read_promoted: rollout.state == RolloutState::Promoting && is_settled,
            routes: routes.collect(),
        };
        let parts = report.split();
        self.sequence += parts.len() as u64;
        let deciders = fleet.rollout_deciders(&me.join.service);
        for decider in deciders {
            for part in &parts {
                if *decider == me.join.vm {
                    self.record_report(now, fleet, part);
                } else if let Some(member) = fleet.members().get(decider) {
                    let datagram = Datagram::RolloutReport(part.clone());
                    actions.datagrams.push((datagram, member.join.peer));
                }
            }
        }
    }

    /// Decides on roll-outs, appends the records of the decisions, and sends permits.
    fn decide(&mut self, now: Duration, fleet: &Fleet, actions: &mut RolloutActions) {
        let Some(me) = fleet.members().get(&self.parts.shared.vm) else {
            return;
        };
        let services: Vec<ServiceId> = self.decided.keys().cloned().collect();
        for service in services {
            let Some(rollout) = fleet.rollout(&service) else {
                continue;
            };
            let decision = self.next_decision(now, fleet, &service, rollout);
            let position = rollout.order.position;
            if let Some(step) = step_of(&decision)
                && self.append(now, &service, position, step.clone(), actions)
            {
                self.log_decision(&service, rollout, step);
            }
            if let RolloutDecision::RollBack { reason } = &decision {
                self.permits.roll_back(&service, position, reason);
                self.appends.cancel_promotion(&service, position);
                let since = self.rolled_back_at.get(&service);
                if since.is_none_or(|(at, _)| *at != position) {
                    self.rolled_back_at.insert(service.clone(), (position, now));
                }
            } else {
                self.permits.confirm(now, &service, position);
            }
            self.send_permits(now, fleet, me, &service, position, actions);
        }
    }

    /// Returns the next step of a roll-out. A rollback by another decider is final.
    fn next_decision(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        service: &ServiceId,
        rollout: &Rollout,
    ) -> RolloutDecision {
        if let Some(reason) = self.permits.rollback(service, rollout.order.position) {
            let reason = reason.to_owned();
            return RolloutDecision::RollBack { reason };
        }
        let since_promoted = self.since_promoted(now, service);
        let since_order = since_order(&rollout.order);
        let Some(decided) = self.decided.get_mut(service) else {
            return RolloutDecision::Continue;
        };
        decided.decide(now, fleet, rollout, since_order, since_promoted)
    }

    fn log_decision(&self, service: &ServiceId, rollout: &Rollout, step: RolloutStep) {
        self.parts.shared.log_event(ProcessEvent::RolloutDecided {
            service: service.clone(),
            target_version: rollout.order.target_version.clone(),
            step: StepKind::of(&step).name().to_owned(),
            reason: match step {
                RolloutStep::RolledBack { reason } => reason,
                _ => String::new(),
            },
        });
    }

    /// Sends a permit to all members of the service, and one with a rollback also to the others.
    fn send_permits(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        me: &Member,
        service: &ServiceId,
        position: Offset,
        actions: &mut RolloutActions,
    ) {
        let rollback = self.permits.rollback(service, position);
        let is_broadcast = rollback.is_some()
            && self.rolled_back_at.get(service).is_some_and(|(_, at)| {
                now.saturating_sub(*at) < BROADCAST_TIME
                    || self.exchanges.is_multiple_of(BROADCAST_INTERVALS)
            });
        let verdict = match rollback {
            Some(_) => RolloutVerdict::RolledBack,
            None => RolloutVerdict::Continue,
        };
        let permit = RolloutPermit {
            service: service.clone(),
            position,
            vm: me.join.vm.clone(),
            incarnation: me.incarnation,
            sequence: self.sequence,
            verdict: verdict.into(),
            reason: RolloutPermit::shorten_reason(rollback.unwrap_or_default()),
        };
        self.sequence += 1;
        let members = fleet.members().values();
        let others = members.filter(|member| {
            member.join.vm != me.join.vm && (is_broadcast || member.join.service == *service)
        });
        for member in others {
            let datagram = Datagram::RolloutPermit(permit.clone());
            actions.datagrams.push((datagram, member.join.peer));
        }
    }

    /// Appends the record of a step, unless this process has done so. Reports whether it was appended.
    fn append(
        &mut self,
        now: Duration,
        service: &ServiceId,
        position: Offset,
        step: RolloutStep,
        actions: &mut RolloutActions,
    ) -> bool {
        let Some(read_back) = self
            .appends
            .begin(now, service, position, StepKind::of(&step))
        else {
            return false;
        };
        let record = RolloutRecord {
            service: service.clone(),
            position,
            step,
        };
        actions.appends.push((Body::Rollout(record), read_back));
        true
    }

    /// Publishes the report for operators, and gauges.
    fn publish_report(&self, now: Duration, fleet: &Fleet) {
        if fleet.rollouts().is_empty() {
            return;
        }
        let shared = &self.parts.shared;
        let statuses: Vec<RolloutStatus> = fleet
            .rollouts()
            .iter()
            .map(|(service, rollout)| self.status(now, fleet, service, rollout))
            .collect();
        let running = statuses.iter().filter(|status| !status.state.is_ended());
        shared
            .metrics
            .set_gauge("rollouts_running", running.count() as u64);
        shared
            .metrics
            .set_gauge("rollouts_decided", self.decided.len() as u64);
        shared.set_rollout_statuses(statuses);
    }

    fn status(
        &self,
        now: Duration,
        fleet: &Fleet,
        service: &ServiceId,
        rollout: &Rollout,
    ) -> RolloutStatus {
        let order = &rollout.order;
        let decided = self.decided.get(service);
        let deciders = match rollout.state.is_ended() {
            true => Vec::new(),
            false => fleet.rollout_deciders(service),
        };
        let ages = decided.map(|decided| decided.report_ages(now));
        let summaries = decided.map(DecidedRollout::summaries);
        RolloutStatus {
            deciders: deciders.into_iter().cloned().collect(),
            duration_ms: order.duration_ms,
            position: order.position,
            published: rollout.published,
            reason: rollout.reason.clone(),
            report_ages_ms: ages
                .into_iter()
                .flatten()
                .map(|(vm, age)| (vm, milliseconds(age)))
                .collect(),
            rollback: self
                .permits
                .rollback(service, order.position)
                .map(str::to_owned),
            routes: summaries
                .into_iter()
                .flatten()
                .map(RouteStatus::new)
                .collect(),
            service: service.clone(),
            share: self.present_share(now, service, rollout),
            since_order_ms: milliseconds(since_order(order)),
            state: rollout.state,
            target_version: order.target_version.clone(),
        }
    }
}

/// Returns the step that a decision takes, or `None` if it takes none.
fn step_of(decision: &RolloutDecision) -> Option<RolloutStep> {
    match decision {
        RolloutDecision::Continue => None,
        RolloutDecision::Promote => Some(RolloutStep::Promoted),
        RolloutDecision::Complete => Some(RolloutStep::Completed),
        RolloutDecision::RollBack { reason } => Some(RolloutStep::RolledBack {
            reason: reason.clone(),
        }),
    }
}

/// Returns the time since an order, by the wall clock.
fn since_order(order: &RolloutOrder) -> Duration {
    Duration::from_millis(unix_ms().saturating_sub(order.ordered_unix_ms))
}

fn state_name(state: RolloutState) -> &'static str {
    match state {
        RolloutState::Trial => "trial",
        RolloutState::Promoting => "promoting",
        RolloutState::Completed => "completed",
        RolloutState::RolledBack => "rolled-back",
    }
}
