//! The part of one process in membership and ownership.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::DRIFT_MARGIN;
use cluster::Fleet;
use cluster::LoadView;
use ids::Fence;
use ids::Offset;
use ids::Unit;

use crate::Absent;
use crate::Action;
use crate::AgentSettings;
use crate::Announcement;
use crate::Appends;
use crate::Declared;
use crate::Event;
use crate::LastReport;
use crate::Lease;
use crate::Life;
use crate::LogReader;
use crate::OwnedUnits;
use crate::Phase;
use crate::Schedule;
use crate::Status;
use crate::Upstream;
use crate::WatchedMembers;
use crate::Witnesses;
use crate::times::REJOIN_BACKOFF;
use crate::times::STOP_DEADLINE;
use crate::times::UNINFORMED_AFTER;

/// The part of one process in membership and ownership: a state machine that is told events and
/// asks for actions.
#[derive(Debug)]
pub struct Agent {
    pub(crate) appends: Appends,
    pub(crate) cfg: AgentSettings,
    pub(crate) declared: Declared,
    pub(crate) handovers: BTreeMap<Unit, String>,
    pub(crate) owned_units: OwnedUnits,
    pub(crate) key_loads: BTreeMap<String, f64>,
    pub(crate) lease: Lease,
    pub(crate) life: Life,
    pub(crate) loads: LoadView,
    pub(crate) log: LogReader,
    pub(crate) schedule: Schedule,
    pub(crate) rejoin_pause: Duration,
    pub(crate) last_report: LastReport,
    pub(crate) sequence: u64,
    pub(crate) stop: Option<Duration>,
    pub(crate) stopped: bool,
    pub(crate) upstream: Upstream,
    pub(crate) watched_members: WatchedMembers,
    pub(crate) witnesses: Witnesses,
}

impl Agent {
    /// Returns the agent of a process that has just started.
    pub fn new(cfg: AgentSettings) -> Self {
        let (lease, log_wait) = (cfg.lease, cfg.log_wait);
        Self {
            appends: Appends::new(cfg.seed, cfg.vm.clone()),
            cfg,
            declared: Declared::default(),
            handovers: BTreeMap::new(),
            owned_units: OwnedUnits::default(),
            key_loads: BTreeMap::new(),
            lease: Lease::new(lease),
            life: Life::Absent(Absent {
                not_before: Duration::ZERO,
            }),
            loads: LoadView::default(),
            log: LogReader::new(log_wait),
            schedule: Schedule::default(),
            rejoin_pause: REJOIN_BACKOFF,
            last_report: LastReport::default(),
            sequence: 0,
            stop: None,
            stopped: false,
            upstream: Upstream::default(),
            watched_members: WatchedMembers::default(),
            witnesses: Witnesses::default(),
        }
    }

    /// Handles an event, and returns what the process is to do, in this order. `now` is the
    /// monotonic time since the start of the process, read after the event arrived.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.take(now, event, &mut actions);
        self.advance(now, &mut actions);
        self.report(now, &mut actions);
        actions
    }

    fn take(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Announced(announcement) => self.upstream.record_announcement(now, announcement),
            Event::CheckedIn(check_in) => self.check_in(now, &check_in, actions),
            Event::ClockSampled { clock_ms, instance } => {
                self.upstream.record_clock_sample(now, &instance, clock_ms);
            }
            Event::Declared(declared) => self.declare(now, declared),
            Event::Drained { units } => self.owned_units.finish_drain(&units),
            Event::GrantAnswered(answer) => self.upstream.handle_grant_answer(now, &answer),
            Event::GrantFailed { sequence } => self.upstream.handle_grant_failure(now, sequence),
            Event::Heartbeat { address, heartbeat } => {
                self.answer(now, address, &heartbeat, actions);
            }
            Event::HeartbeatAnswered(answer) => self.answered(now, &answer, actions),
            Event::HotKeys { loads } => self.key_loads = loads,
            Event::LogFailed => self.log.failed(),
            Event::LogIdle => self.log.succeeded(now, None),
            Event::PeerLoads { loads } => self.loads.peer_loads.extend(loads),
            Event::PeerRecords { records, .. } => {
                self.read(now, &records, actions);
                self.log.pulled(now);
            }
            Event::Records { next, records } => {
                self.read(now, &records, actions);
                self.log.succeeded(now, Some(next));
            }
            Event::RecordsExpired { first } => self.log.expired(first),
            Event::Stop => {
                self.schedule.next_move_plan = now;
                self.schedule.has_nothing_to_move = false;
                self.stop.get_or_insert(now + STOP_DEADLINE);
            }
            Event::Tick => self.tick(now, actions),
            Event::UnitLoads { loads } => self.loads.unit_loads = loads,
            Event::UpstreamLeft { instance } => self.upstream.record_leave(&instance),
            Event::UpstreamLost => self.upstream.record_connection_loss(now),
        }
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let was_paused = self.schedule.record_tick(now);
        self.upstream.tick(now, was_paused);
        self.suspect(now, was_paused, actions);
        self.appends.repeat(now, actions);
        self.write_snapshot(now, actions);
        self.pull_from_any(now, actions);
    }

    /// Takes every step that has become due.
    pub(crate) fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.beat(now, actions);
        self.live(now, actions);
        let holder = self.holder();
        let may_grant = self.life.may_grant();
        let lease_end = self.lease.end().filter(|_| may_grant);
        let wanted = self.owned_units.desired_grants();
        self.upstream
            .advance(now, &holder, lease_end, wanted, actions);
        self.owned_units.advance(now, &self.upstream);
        self.pass_on(now, actions);
        self.finish(now, actions);
    }

    fn holder(&self) -> String {
        let incarnation = self.life.incarnation().unwrap_or_default();
        format!("{}@{incarnation}", self.cfg.vm)
    }

    /// Returns the folded log.
    pub fn fleet(&self) -> &Fleet {
        self.log.fleet()
    }

    /// Returns the offset from which the log is to be read next.
    pub fn read_from(&self) -> Offset {
        self.log.next()
    }

    /// Returns the end of the lease. Requests are dispatched only strictly before it.
    pub fn lease_until(&self) -> Option<Duration> {
        self.lease.end()
    }

    /// Returns the units that may be dispatched while the lease holds: owned, waited for, granted
    /// to the upstream, and not being handed over.
    pub fn serving(&self) -> &BTreeMap<Unit, Fence> {
        self.owned_units.serving()
    }

    /// Tells whether the process can know which keys are withdrawn. Everything is refused while it
    /// cannot.
    pub fn is_informed(&self, now: Duration) -> bool {
        self.log.is_informed(now) || self.has_recent_contact(now)
    }

    /// Tells whether the process may answer the pull of a peer: its knowledge comes from the log or
    /// from its witnesses, and not from peers alone.
    pub fn can_answer_pulls(&self, now: Duration) -> bool {
        self.log.is_first_hand(now) || self.has_recent_contact(now)
    }

    fn has_recent_contact(&self, now: Duration) -> bool {
        let contact = self.lease.last_contact(now);
        contact.is_some_and(|contact| now <= contact + UNINFORMED_AFTER)
    }

    /// Returns the time at which the last request must have ended that is dispatched now, or `None`
    /// if the upstream sees to that itself.
    ///
    /// An upstream that checks grants refuses and ends requests whose grant has expired. For one that
    /// does not, each request carries a deadline no later than this time, and is cancelled then. What
    /// stays open is an upstream that ignores deadlines, whose home is paused or lost meanwhile.
    pub fn run_until(&self) -> Option<Duration> {
        let lease_end = self.lease.end().unwrap_or_default();
        let is_bound = !self.upstream.checks_orders();
        is_bound.then(|| lease_end.saturating_sub(DRIFT_MARGIN))
    }

    /// Returns the announcement of the upstream that may be dispatched to.
    pub fn upstream(&self) -> Option<&Announcement> {
        self.upstream.accepted()
    }

    /// Returns the state of the agent, for operators.
    pub fn status(&self, now: Duration) -> Status {
        let (watched, suspected) = self.watched_members.counts();
        let until = self.lease.end();
        let upstream = self.upstream.accepted();
        Status {
            appends_pending: self.appends.len(),
            incarnation: self.life.incarnation(),
            is_informed: self.is_informed(now),
            lease_left: until.map(|until| until.saturating_sub(now)),
            log_healthy: self.log.is_healthy(now),
            next: self.log.next(),
            phase: self.phase(),
            suspected,
            units: self.owned_units.counts(),
            upstream_instance: upstream.map(|upstream| upstream.instance.clone()),
            watched,
            witnesses: self.witnesses.len(),
        }
    }

    fn phase(&self) -> Phase {
        if self.stopped {
            Phase::Stopped
        } else {
            self.life.phase()
        }
    }
}
