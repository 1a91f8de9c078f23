//! The state machine for the membership and unit ownership of one process.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::DRIFT_MARGIN;
use cluster::Fleet;
use cluster::LoadView;
use config::Manifest;
use ids::Fence;
use ids::Offset;
use ids::Unit;

use crate::Absent;
use crate::Action;
use crate::AgentSettings;
use crate::Announcement;
use crate::DeclarationFreshness;
use crate::DesiredGrants;
use crate::Event;
use crate::LastReport;
use crate::Lease;
use crate::LogState;
use crate::MemberState;
use crate::OperatorDeclarations;
use crate::OverdueReads;
use crate::OwnedUnits;
use crate::PendingAppends;
use crate::Phase;
use crate::ReadTimes;
use crate::RejectedDeclarations;
use crate::Schedule;
use crate::Status;
use crate::Upstream;
use crate::WatchedMembers;
use crate::Witnesses;
use crate::times::REJOIN_BACKOFF;
use crate::times::UNINFORMED_AFTER;

/// State machine for the membership and unit ownership of one process. It handles events and
/// returns actions.
#[derive(Debug)]
pub struct Agent {
    pub(crate) appends: PendingAppends,
    pub(crate) cfg: AgentSettings,
    pub(crate) declaration_freshness: DeclarationFreshness,
    pub(crate) declaration_reads: ReadTimes,
    pub(crate) declarations: OperatorDeclarations,
    pub(crate) handovers: BTreeMap<Unit, String>,
    pub(crate) is_stopped: bool,
    pub(crate) key_loads: BTreeMap<String, f64>,
    pub(crate) last_report: LastReport,
    pub(crate) lease: Lease,
    pub(crate) loads: LoadView,
    pub(crate) log: LogState,
    pub(crate) log_reads: ReadTimes,
    pub(crate) overdue_reads: OverdueReads,
    pub(crate) owned_units: OwnedUnits,
    /// Declarations that the log will never accept, until operators declare others.
    pub(crate) rejected_declarations: RejectedDeclarations,
    pub(crate) rejoin_backoff: Duration,
    pub(crate) schedule: Schedule,
    pub(crate) sequence: u64,
    /// Time from which no request is started, `None` while the zone of this process is in service.
    pub(crate) starts_until: Option<Duration>,
    pub(crate) state: MemberState,
    pub(crate) stop_deadline: Option<Duration>,
    pub(crate) upstream: Upstream,
    pub(crate) watched_members: WatchedMembers,
    pub(crate) witnesses: Witnesses,
}

impl Agent {
    /// Returns the agent of a process that has just started.
    pub fn new(cfg: AgentSettings) -> Self {
        let (lease, log_wait) = (cfg.lease, cfg.log_wait);
        Self {
            appends: PendingAppends::new(cfg.seed, cfg.vm.clone()),
            cfg,
            declaration_freshness: DeclarationFreshness::default(),
            declaration_reads: ReadTimes::default(),
            declarations: OperatorDeclarations::default(),
            handovers: BTreeMap::new(),
            is_stopped: false,
            key_loads: BTreeMap::new(),
            last_report: LastReport::default(),
            lease: Lease::new(lease),
            loads: LoadView::default(),
            log: LogState::new(log_wait),
            log_reads: ReadTimes::default(),
            overdue_reads: OverdueReads::default(),
            owned_units: OwnedUnits::default(),
            rejected_declarations: RejectedDeclarations::default(),
            rejoin_backoff: REJOIN_BACKOFF,
            schedule: Schedule::default(),
            sequence: 0,
            starts_until: None,
            state: MemberState::Absent(Absent {
                not_before: Duration::ZERO,
            }),
            stop_deadline: None,
            upstream: Upstream::default(),
            watched_members: WatchedMembers::default(),
            witnesses: Witnesses::default(),
        }
    }

    /// Handles an event, and returns the actions that the process must carry out, in order. `now` is
    /// the monotonic time since the start of the process, read after the event arrived.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.apply_event(now, event, &mut actions);
        self.update_evacuation(now);
        self.advance(now, &mut actions);
        self.report_changes(now, &mut actions);
        actions
    }

    fn apply_event(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Announced(announcement) => self.upstream.record_announcement(now, announcement),
            Event::AppendRejected { id, reason } => self.handle_rejection(&id, reason, actions),
            Event::Appended => self.overdue_reads.record_append(self.appends.len()),
            Event::Capacities { capacities } => self.loads.capacities = capacities,
            Event::CheckedIn(check_in) => self.handle_check_in(now, &check_in, actions),
            Event::ClockSampled { clock_ms, instance } => {
                self.upstream.record_clock_sample(now, &instance, clock_ms);
            }
            Event::Declared(declarations) => self.set_declarations(now, declarations),
            Event::DeclarationsChecked { duration, position } => {
                let began = now.saturating_sub(duration);
                self.declaration_freshness.record_end(began, position);
            }
            Event::DeclarationsRead {
                duration,
                has_waited,
                position,
            } => {
                // A read that waited ends with the time for which it found no more changes.
                let at = match has_waited {
                    true => now,
                    false => now.saturating_sub(duration),
                };
                self.declaration_freshness.record_read(at, position);
                self.declaration_reads.record(now, has_waited);
                self.declaration_reads.complete(now);
            }
            Event::Drained { units } => self.owned_units.finish_drain(&units),
            Event::GrantAnswered(answer) => self.upstream.handle_grant_answer(now, &answer),
            Event::GrantFailed { sequence } => self.upstream.handle_grant_failure(now, sequence),
            Event::Heartbeat { address, heartbeat } => {
                self.answer_heartbeat(now, address, &heartbeat, actions);
            }
            Event::HeartbeatAnswered(answer) => self.handle_heartbeat_answer(now, &answer, actions),
            Event::HotKeys { loads } => self.key_loads = loads,
            Event::LogFailed => self.log.read_failed(),
            Event::LogIdle => {
                self.log.read_succeeded(now, None);
                self.complete_log_read(now);
            }
            Event::LogRestored { generation } => self.handle_restore(now, generation, actions),
            Event::PeerLoads { loads } => self.loads.peer_loads.extend(loads),
            Event::PeerRecords { next, records, .. } => {
                self.apply_records(now, &records, actions);
                self.log.pull_succeeded(now, next);
            }
            Event::Records { next, records } => {
                // After a failed read, the next one does not wait.
                self.log_reads.record(now, !self.log.is_failing());
                self.apply_records(now, &records, actions);
                self.log.read_succeeded(now, Some(next));
                self.complete_log_read(now);
            }
            Event::RecordsExpired { first } => self.log.records_expired(first),
            Event::Stop => {
                self.schedule.has_nothing_to_move = false;
                self.stop_deadline
                    .get_or_insert(now + self.cfg.stop_timeout);
            }
            Event::Tick => self.tick(now, actions),
            Event::TrialShare { share } => self.set_trial_share(share),
            Event::UnitLoads { loads } => self.loads.unit_loads = loads,
            Event::UpstreamLeft { process } => self.upstream.record_leave(&process),
            Event::UpstreamLost => self.upstream.record_connection_loss(now),
        }
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let was_paused = self.schedule.record_tick(now);
        self.upstream.tick(now, was_paused);
        self.report_suspicions(now, was_paused, actions);
        for record in self.appends.retry_due(now, actions) {
            self.give_up(now, &record, actions);
        }
        self.end_overdue_reads(now, actions);
        self.keep_declarations_fresh(now, actions);
        self.write_snapshot(now, actions);
        self.continue_log(now, actions);
        self.pull_from_any(now, actions);
    }

    /// Performs every step that is due.
    pub(crate) fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.send_heartbeats(now, actions);
        self.advance_lifecycle(now, actions);
        let holder = self.holder();
        self.upstream.update_instance(now);
        // An upstream of another version gets nothing before the log states which units its member keeps.
        let is_joined = self.is_joined_for_upstream();
        let may_grant = self.state.may_grant() && is_joined;
        let lease_end = self.lease.end().filter(|_| may_grant);
        let no_grants = DesiredGrants::default();
        let desired = match is_joined {
            true => self.owned_units.desired_grants(),
            false => &no_grants,
        };
        self.upstream
            .advance(now, &holder, lease_end, desired, actions);
        self.owned_units.advance(now, &self.upstream);
        self.append_moves(now, actions);
        self.complete_stop(now, actions);
    }

    fn holder(&self) -> String {
        let incarnation = self.state.incarnation().unwrap_or_default();
        format!("{}@{incarnation}", self.cfg.vm)
    }

    /// Returns the folded log.
    pub fn fleet(&self) -> &Fleet {
        self.log.fleet()
    }

    /// Returns the newest manifest that operators have declared, or `None` before the first.
    pub fn declared_manifest(&self) -> Option<&Manifest> {
        self.declarations.manifest.as_deref()
    }

    /// Returns the revision of the newest manifest that operators have declared, or 0 before the first.
    pub fn declared_revision(&self) -> u64 {
        let manifest = self.declared_manifest();
        manifest.map_or(0, |manifest| manifest.revision)
    }

    /// Returns the offset of the next log record to read.
    pub fn next_log_offset(&self) -> Offset {
        self.log.next_offset()
    }

    /// Returns the end of the lease. Requests are dispatched only strictly before it.
    pub fn lease_until(&self) -> Option<Duration> {
        self.lease.end()
    }

    /// Returns the units that requests may be dispatched on while the lease holds: those that are
    /// owned, past their takeover wait, granted to the upstream, and not being handed over.
    pub fn serving_units(&self) -> &BTreeMap<Unit, Fence> {
        self.owned_units.serving()
    }

    /// Reports whether the process's information is recent enough to know which keys are withdrawn.
    /// Every request is refused while it is not.
    pub fn is_informed(&self, now: Duration) -> bool {
        self.log.is_informed(now) || self.has_recent_contact(now)
    }

    /// Reports whether the log answers and all of it and of the declarations of operators has been read, so that what the
    /// configuration lacks is not in force.
    ///
    /// Contact with witnesses does not suffice: they may be as far behind.
    pub fn is_up_to_date(&self, now: Duration) -> bool {
        self.log.is_healthy(now) && self.knows_declarations(now)
    }

    /// Reports whether the process may answer a pull of a peer: its information comes from the log or
    /// from its witnesses, and not from peers alone.
    pub fn can_answer_pulls(&self, now: Duration) -> bool {
        self.log.is_recently_read(now) || self.has_recent_contact(now)
    }

    fn has_recent_contact(&self, now: Duration) -> bool {
        let contact = self.lease.last_contact(now);
        contact.is_some_and(|contact| now <= contact + UNINFORMED_AFTER)
    }

    /// Returns the time by which a request that is dispatched now must have ended, or `None` if the
    /// upstream enforces that itself.
    ///
    /// An upstream that checks grants refuses and ends requests whose grant has expired. For one that
    /// does not, each request carries a deadline no later than this time, and is cancelled then. This
    /// does not cover an upstream that ignores deadlines and whose home is paused or lost meanwhile.
    pub fn request_deadline(&self) -> Option<Duration> {
        let lease_end = self.lease.end().unwrap_or_default();
        let is_bound = !self.upstream.checks_grants();
        is_bound.then(|| lease_end.saturating_sub(DRIFT_MARGIN))
    }

    /// Returns the announcement of the upstream that requests may be dispatched to.
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
            incarnation: self.state.incarnation(),
            is_informed: self.is_informed(now),
            lease_left: until.map(|until| until.saturating_sub(now)),
            log_healthy: self.log.is_healthy(now),
            next: self.log.next_offset(),
            phase: self.phase(),
            suspected,
            units: self.owned_units.counts(),
            upstream_instance: upstream.map(|upstream| upstream.instance.clone()),
            watched,
            witnesses: self.witnesses.len(),
        }
    }

    fn phase(&self) -> Phase {
        if self.is_stopped {
            Phase::Stopped
        } else {
            self.state.phase()
        }
    }
}
