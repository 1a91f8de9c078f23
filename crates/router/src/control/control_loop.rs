//! The event loop of the control thread, which drives the membership agent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cluster::Body;
use cluster::FleetCopy;
use cluster::Record;
use cluster::RecordAssembler;
use ids::Offset;
use ids::Unit;
use membership::Action;
use membership::Agent;
use membership::CheckInAnswer;
use membership::Event;
use records::Log;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::DeclarationReads;
use crate::control::ControlMessage;
use crate::control::IncomingDatagram;
use crate::control::LogWriter;
use crate::control::datagram_socket::DatagramSocket;
use crate::control::load_exchange::BROADCAST_PEERS;
use crate::control::load_exchange::LoadExchange;
use crate::control::load_exchange::peer_count;
use crate::control::load_exchange::recipients;
use crate::control::trace_writer::TraceWriter;
use crate::control::unconfirmed_appends::UnconfirmedAppends;
use crate::control::upstream_control::UpstreamControl;
use crate::handover::IncomingHandovers;
use crate::home::Home;
use crate::peer_client::PeerClient;
use crate::rollout::RolloutActions;
use crate::rollout::RolloutControl;
use crate::shared::Shared;
use crate::view::View;

/// Time between two ticks of the agent.
const TICK: Duration = Duration::from_millis(50);

/// Ticks between two reports of unit loads to the agent.
const LOAD_REPORT_TICKS: u64 = 20;

/// Ticks between two load messages to peers.
const LOAD_EXCHANGE_TICKS: u64 = 40;

/// Components that the control loop uses.
pub(crate) struct ControlParts {
    pub(crate) agent: Agent,
    pub(crate) handovers: Arc<IncomingHandovers>,
    pub(crate) cursor: Arc<AtomicU64>,
    /// Reads of operator declarations, `None` if operators publish them in the log.
    pub(crate) declaration_reads: Option<Arc<dyn DeclarationReads>>,
    pub(crate) datagrams: DatagramSocket,
    pub(crate) home: Arc<Home>,
    pub(crate) log: Arc<dyn Log>,
    pub(crate) trace_writer: Option<TraceWriter>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) stopped: CancellationToken,
    pub(crate) peer_client: PeerClient,
    pub(crate) rollouts: RolloutControl,
    pub(crate) upstream: UpstreamControl,
    pub(crate) writer: LogWriter,
}

/// Passes events to the membership agent and performs the actions that it returns.
pub(crate) struct ControlLoop {
    assembler: RecordAssembler,
    pending_check_ins: BTreeMap<u64, oneshot::Sender<CheckInAnswer>>,
    /// Units that are being handed over, with the start time of each handover.
    draining: BTreeMap<Unit, Duration>,
    fleet_copy: FleetCopy,
    loads: LoadExchange,
    pub(super) parts: ControlParts,
    ticks: u64,
    unconfirmed_appends: UnconfirmedAppends,
}

impl ControlLoop {
    pub(crate) fn new(parts: ControlParts) -> Self {
        Self {
            assembler: RecordAssembler::default(),
            pending_check_ins: BTreeMap::new(),
            draining: BTreeMap::new(),
            fleet_copy: FleetCopy::default(),
            loads: LoadExchange::default(),
            parts,
            ticks: 0,
            unconfirmed_appends: UnconfirmedAppends::default(),
        }
    }

    /// Handles datagrams, messages and ticks until the agent has stopped.
    pub(crate) async fn run(mut self, mut rx: UnboundedReceiver<ControlMessage>) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.parts.stopped.is_cancelled() {
            tokio::select! {
                datagram = self.parts.datagrams.receive() => {
                    if let Some(datagram) = datagram {
                        self.handle_datagram(datagram);
                    }
                }
                message = rx.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                _ = tick.tick() => self.handle_tick(),
            }
            self.publish_view();
        }
    }

    fn handle_message(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Append { body, read_back } => self.append_record(*body, read_back),
            ControlMessage::CheckIn { answer, check_in } => {
                self.pending_check_ins.insert(check_in.id, answer);
                self.handle_event(Event::CheckedIn(*check_in));
            }
            ControlMessage::Event(event) => self.handle_event(event),
            ControlMessage::StatusWritten { is_written, job } => {
                let now = self.parts.shared.clock.now();
                let actions = self.parts.rollouts.record_status(now, &job, is_written);
                self.perform_rollout(actions);
            }
        }
    }

    fn append_record(&mut self, body: Body, read_back: oneshot::Sender<()>) {
        let record = Record {
            body,
            id: Uuid::new_v4().to_string(),
            writer: self.parts.shared.vm.clone(),
        };
        self.parts.writer.append(record.clone());
        let now = self.parts.shared.clock.now();
        self.unconfirmed_appends.add(now, record, read_back);
    }

    fn handle_tick(&mut self) {
        for datagram in self.parts.datagrams.receive_pending() {
            self.handle_datagram(datagram);
        }
        self.handle_event(Event::Tick);
        let now = self.parts.shared.clock.now();
        let actions = self.parts.rollouts.tick(now, &self.parts.agent);
        self.perform_rollout(actions);
        self.retry_appends();
        self.ticks += 1;
        if self.ticks.is_multiple_of(LOAD_REPORT_TICKS) {
            self.publish_gauges();
            self.report_loads();
        }
    }

    fn perform_rollout(&mut self, actions: RolloutActions) {
        for (body, read_back) in actions.appends {
            self.append_record(body, read_back);
        }
        for (datagram, to) in &actions.datagrams {
            self.parts.datagrams.send(datagram, *to);
        }
        if let Some(share) = actions.trial_share {
            self.handle_event(Event::TrialShare { share });
        }
    }

    fn handle_datagram(&mut self, datagram: IncomingDatagram) {
        match datagram {
            IncomingDatagram::Event(event) => self.handle_event(event),
            IncomingDatagram::Loads(loads) => {
                let now = self.parts.shared.clock.now();
                self.loads.merge(now, &loads);
            }
            IncomingDatagram::Permit(permit) => {
                let now = self.parts.shared.clock.now();
                let fleet = self.parts.agent.fleet();
                self.parts.rollouts.record_permit(now, fleet, &permit);
            }
            IncomingDatagram::Report(report) => {
                let now = self.parts.shared.clock.now();
                let fleet = self.parts.agent.fleet();
                self.parts.rollouts.record_report(now, fleet, &report);
            }
        }
    }

    /// Reports the loads of units, hot keys and peers to the agent, and sends loads to peers.
    fn report_loads(&mut self) {
        for event in self.load_events() {
            self.handle_event(event);
        }
    }

    fn load_events(&mut self) -> Vec<Event> {
        let now = self.parts.shared.clock.now();
        let fleet = self.parts.agent.fleet();
        let Some(me) = fleet.members().get(&self.parts.shared.vm) else {
            return Vec::new();
        };
        let service_config = fleet.plans().services.get(&me.join.service);
        if service_config.is_none_or(|service_config| !service_config.is_keyed()) {
            return Vec::new();
        }
        let owned = fleet.units_of(&me.join.vm).map(|(unit, _)| unit);
        let keyed = owned.filter(|unit| !matches!(unit, Unit::Bucket { .. }));
        let loads = self.parts.home.update_loads(&keyed.cloned().collect());
        self.loads.record_own_load(
            now,
            me.incarnation,
            loads.units.values().sum(),
            loads.capacity,
        );
        self.loads.expire(now, fleet);
        if self.ticks.is_multiple_of(LOAD_EXCHANGE_TICKS)
            || peer_count(fleet, me) <= BROADCAST_PEERS
        {
            let message = self.loads.next_message(now, me);
            for to in recipients(fleet, me, rand::random_range(0..usize::MAX)) {
                self.parts.datagrams.send_loads(message.clone(), to);
            }
        }
        let units = match self.loads.is_service_busy(fleet, me) {
            true => loads.units,
            false => BTreeMap::new(),
        };
        let peers = self.loads.peer_loads(fleet, me);
        let capacities = self.loads.capacities(fleet, me);
        vec![
            Event::Capacities { capacities },
            Event::PeerLoads { loads: peers },
            Event::HotKeys { loads: loads.keys },
            Event::UnitLoads { loads: units },
        ]
    }

    fn retry_appends(&mut self) {
        let now = self.parts.shared.clock.now();
        for record in self.unconfirmed_appends.due(now) {
            self.parts.writer.append(record);
        }
    }

    fn handle_event(&mut self, event: Event) {
        self.observe_event(&event);
        let now = self.parts.shared.clock.now();
        if let Some(trace_writer) = &mut self.parts.trace_writer {
            trace_writer.write(now, &event);
        }
        let actions = self.parts.agent.handle(now, event);
        self.parts.shared.lease.set(self.parts.agent.lease_until());
        for action in actions {
            self.perform(action);
        }
    }

    /// Records the parts of an event that the agent does not keep.
    fn observe_event(&mut self, event: &Event) {
        match event {
            Event::AppendRejected { id, .. } => self.unconfirmed_appends.reject(id),
            Event::Announced(announcement) => {
                self.parts.upstream.set_announcement(announcement);
            }
            Event::PeerRecords { records, .. } => {
                self.parts.shared.record_log_read();
                self.store_records(records);
            }
            Event::Records { records, .. } => self.store_records(records),
            _ => {}
        }
    }

    fn store_records(&mut self, records: &[(Offset, String)]) {
        for (offset, body) in records {
            self.parts.shared.records.push(*offset, body);
            self.parts.cursor.fetch_max(offset + 1, Ordering::SeqCst);
            let Ok(record) = serde_json::from_str::<Record>(body) else {
                continue;
            };
            if let Ok(Some(record)) = self.assembler.add(*offset, record) {
                self.observe_record(*offset, &record);
            }
        }
    }

    fn observe_record(&mut self, offset: Offset, record: &Record) {
        self.unconfirmed_appends.confirm(&record.id);
        if let Body::Move { from, units, .. } = &record.body
            && *from == self.parts.shared.vm
        {
            let now = self.parts.shared.clock.now();
            let started = units.iter().map(|moved| self.draining.remove(&moved.unit));
            if let Some(started) = started.flatten().min() {
                let metrics = &self.parts.shared.metrics;
                metrics.record_duration("move", now.saturating_sub(started));
            }
        }
        if let Body::Move { to, units, .. } = &record.body
            && *to == self.parts.shared.vm
        {
            self.parts.handovers.record_move(offset, units);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::AnswerCheckIn(answer) => self.answer_check_in(answer),
            Action::Append(record) => self.append_agent_record(record),
            Action::LogDecision(decision) => self.log_decision(&decision),
            Action::CheckDeclarations => {
                if let Some(reads) = &self.parts.declaration_reads {
                    reads.check();
                }
            }
            Action::Drain { units } => {
                let now = self.parts.shared.clock.now();
                self.draining
                    .extend(units.iter().map(|unit| (unit.clone(), now)));
                if units.iter().any(|unit| matches!(unit, Unit::Pinned { .. })) {
                    // Requests that wait under the shard of a pinned key start until traffic threads know of the pin.
                    self.fleet_copy.expire();
                }
                self.publish_view();
                self.parts.home.drain(units);
            }
            Action::EndOverdueReads { age } => {
                if self.parts.log.end_overdue_reads(age) > 0 {
                    log::warn!(
                        "a read of the log was lost, since the log holds newer records: it is repeated"
                    );
                }
            }
            Action::Grant(grant) => self.parts.upstream.send_grant(grant),
            Action::Probe => self.parts.upstream.sample_clock(),
            Action::Pull {
                address,
                from,
                peer,
            } => self.parts.peer_client.pull(peer, address, from),
            Action::RecordUpstreamState {
                process,
                warm_up_left,
            } => self.parts.home.record_cold_time(&process, warm_up_left),
            Action::RepeatDeclarationReads => {
                let reads = self.parts.declaration_reads.iter();
                reads.for_each(|reads| reads.repeat());
                log::warn!(
                    "a read of operator declarations was lost, since newer ones exist: it is repeated"
                );
            }
            Action::SendHeartbeat { heartbeat, to } => {
                self.parts.datagrams.send_heartbeat(heartbeat, to)
            }
            Action::SendHeartbeatAnswer { answer, to } => {
                self.parts.datagrams.send_answer(answer, to)
            }
            Action::Stopped => self.parts.stopped.cancel(),
            Action::Undrain { units } => {
                self.draining.retain(|unit, _| !units.contains(unit));
                self.parts.home.undrain(&units);
            }
        }
    }

    /// Answers the upstream's check-in, after publishing the view that lists what may be dispatched.
    fn answer_check_in(&mut self, answer: CheckInAnswer) {
        if let Some(tx) = self.pending_check_ins.remove(&answer.id) {
            self.publish_view();
            let _ = tx.send(answer);
        }
    }

    fn append_agent_record(&mut self, record: Record) {
        let next_owner = match &record.body {
            Body::Move { to, .. } => self.parts.agent.fleet().members().get(to),
            _ => None,
        };
        match next_owner {
            Some(member) => self.parts.peer_client.hand_over(record, member.join.peer),
            None => self.parts.writer.append(record),
        }
    }

    /// Publishes the current view to the traffic threads. Unchanged parts are shared with the last view.
    fn publish_view(&mut self) {
        let now = self.parts.shared.clock.now();
        let agent = &self.parts.agent;
        self.parts.rollouts.refresh(now, agent);
        let current = self.parts.shared.view();
        let clock = self.parts.shared.clock;
        let declared = agent.declared_manifest();
        let fleet = self
            .fleet_copy
            .refresh(agent.fleet(), declared, now, || clock.now());
        let serving = if *current.serving == *agent.serving_units() {
            Arc::clone(&current.serving)
        } else {
            Arc::new(agent.serving_units().clone())
        };
        let pending_zones = agent.pending_zones(now);
        let pending_zones = match pending_zones == *current.pending_zones {
            true => Arc::clone(&current.pending_zones),
            false => Arc::new(pending_zones),
        };
        let status = Arc::new(agent.status(now));
        let upstream = match (agent.upstream(), &current.upstream) {
            (Some(accepted), Some(known)) if *accepted == **known => Some(Arc::clone(known)),
            (accepted, _) => accepted.cloned().map(Arc::new),
        };
        self.parts.shared.publish(View {
            can_answer_pulls: agent.can_answer_pulls(now),
            declarations_until: agent.knows_declarations_until(),
            fleet,
            is_informed: agent.is_informed(now),
            is_up_to_date: agent.is_up_to_date(now),
            lacks_declarations: agent.lacks_declarations(),
            pending_zones,
            request_deadline: agent.request_deadline(),
            rollout_starts_until: self.parts.rollouts.starts_until(),
            rollouts: self.parts.rollouts.view(),
            serving,
            starts_until: agent.starts_until(),
            status,
            upstream,
        });
    }
}
