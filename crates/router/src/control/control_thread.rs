//! The thread that runs the agent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cluster::Body;
use cluster::Record;
use ids::Offset;
use ids::RecordId;
use ids::Unit;
use membership::Action;
use membership::Agent;
use membership::Announcement;
use membership::CheckInAnswer;
use membership::Event;
use membership::Status;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::control::Heard;
use crate::control::Input;
use crate::control::LogWriter;
use crate::control::datagrams::Datagrams;
use crate::control::fleet_copy::FleetCopy;
use crate::control::load_exchange::FEW_PEERS;
use crate::control::load_exchange::LoadExchange;
use crate::control::load_exchange::peer_count;
use crate::control::load_exchange::recipients;
use crate::control::recorder::Recorder;
use crate::control::upstream_control::UpstreamControl;
use crate::handover::IncomingHandovers;
use crate::home::Home;
use crate::shared::Shared;
use crate::transfer::Transfer;
use crate::view::View;

/// Time between two ticks of the agent.
const TICK: Duration = Duration::from_millis(50);

/// Time between two reports of unit loads to the agent.
const LOAD_REPORT_TICKS: u64 = 20;

/// Time between two messages that pass loads on.
const LOAD_EXCHANGE_TICKS: u64 = 40;

/// Time after which a record that was not read back is appended again.
const APPEND_RETRY: Duration = Duration::from_millis(1_000);

struct PendingAppend {
    read_back: oneshot::Sender<()>,
    record: Record,
    sent: Duration,
}

/// What the control thread works with.
pub(crate) struct ControlParts {
    pub(crate) agent: Agent,
    pub(crate) handovers: Arc<IncomingHandovers>,
    pub(crate) cursor: Arc<AtomicU64>,
    pub(crate) datagrams: Datagrams,
    pub(crate) home: Arc<Home>,
    pub(crate) recorder: Option<Recorder>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) stopped: CancellationToken,
    pub(crate) transfer: Transfer,
    pub(crate) upstream: UpstreamControl,
    pub(crate) writer: LogWriter,
}

/// Runs the agent: passes events to it, and carries out what it asks for.
pub(crate) struct Control {
    announced: Option<Announcement>,
    checking_in: BTreeMap<u64, oneshot::Sender<CheckInAnswer>>,
    /// Units that are being handed over, with the time at which that began.
    draining: BTreeMap<Unit, Duration>,
    fleet_copy: FleetCopy,
    loads: LoadExchange,
    pub(super) parts: ControlParts,
    pending: BTreeMap<RecordId, PendingAppend>,
    ticks: u64,
}

impl Control {
    pub(crate) fn new(parts: ControlParts) -> Self {
        Self {
            announced: None,
            checking_in: BTreeMap::new(),
            draining: BTreeMap::new(),
            fleet_copy: FleetCopy::default(),
            loads: LoadExchange::default(),
            parts,
            pending: BTreeMap::new(),
            ticks: 0,
        }
    }

    /// Handles inputs until the agent has stopped.
    pub(crate) async fn run(mut self, mut rx: UnboundedReceiver<Input>) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.parts.stopped.is_cancelled() {
            tokio::select! {
                heard = self.parts.datagrams.receive() => {
                    if let Some(heard) = heard {
                        self.hear(heard);
                    }
                }
                input = rx.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                _ = tick.tick() => self.tick(),
            }
            self.publish();
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Append { body, read_back } => self.append(*body, read_back),
            Input::CheckIn { answer, check_in } => {
                self.checking_in.insert(check_in.id, answer);
                self.handle(Event::CheckedIn(*check_in));
            }
            Input::Event(event) => self.handle(event),
        }
    }

    fn append(&mut self, body: Body, read_back: oneshot::Sender<()>) {
        let record = Record {
            body,
            id: Uuid::new_v4().to_string(),
            writer: self.parts.shared.vm.clone(),
        };
        self.parts.writer.append(record.clone());
        let sent = self.parts.shared.clock.now();
        let pending = PendingAppend {
            read_back,
            record,
            sent,
        };
        self.pending.insert(pending.record.id.clone(), pending);
    }

    fn tick(&mut self) {
        for heard in self.parts.datagrams.arrived() {
            self.hear(heard);
        }
        self.handle(Event::Tick);
        self.repeat_appends();
        self.ticks += 1;
        if self.ticks.is_multiple_of(LOAD_REPORT_TICKS) {
            self.report_gauges();
            self.report_loads();
        }
    }

    fn hear(&mut self, heard: Heard) {
        match heard {
            Heard::Event(event) => self.handle(event),
            Heard::Loads(loads) => {
                let now = self.parts.shared.clock.now();
                self.loads.heard(now, &loads);
            }
        }
    }

    /// Tells the agent the loads of units, hot keys and peers, and passes loads on to a peer.
    fn report_loads(&mut self) {
        for event in self.load_events() {
            self.handle(event);
        }
    }

    fn load_events(&mut self) -> Vec<Event> {
        let now = self.parts.shared.clock.now();
        let fleet = self.parts.agent.fleet();
        let Some(me) = fleet.members().get(&self.parts.shared.vm) else {
            return Vec::new();
        };
        let declared = fleet.plans().services.get(&me.join.service);
        if declared.is_none_or(|declared| !declared.is_keyed()) {
            return Vec::new();
        }
        let owned = fleet.units_of(&me.join.vm).map(|(unit, _)| unit);
        let keyed = owned.filter(|unit| !matches!(unit, Unit::Bucket { .. }));
        let loads = self.parts.home.update_loads(&keyed.cloned().collect());
        self.loads
            .measured(now, me.incarnation, loads.units.values().sum());
        self.loads.expire(now, fleet);
        if self.ticks.is_multiple_of(LOAD_EXCHANGE_TICKS) || peer_count(fleet, me) <= FEW_PEERS {
            let message = self.loads.message(now, me);
            for to in recipients(fleet, me, rand::random_range(0..usize::MAX)) {
                self.parts.datagrams.send_loads(message.clone(), to);
            }
        }
        let units = match self.loads.is_telling(fleet, me) {
            true => loads.units,
            false => BTreeMap::new(),
        };
        let peers = self.loads.peers(fleet, me);
        vec![
            Event::PeerLoads { loads: peers },
            Event::HotKeys { loads: loads.keys },
            Event::UnitLoads { loads: units },
        ]
    }

    fn repeat_appends(&mut self) {
        let now = self.parts.shared.clock.now();
        self.pending
            .retain(|_, pending| !pending.read_back.is_closed());
        for pending in self.pending.values_mut() {
            if now.saturating_sub(pending.sent) >= APPEND_RETRY {
                pending.sent = now;
                self.parts.writer.append(pending.record.clone());
            }
        }
    }

    fn handle(&mut self, event: Event) {
        self.before(&event);
        let now = self.parts.shared.clock.now();
        if let Some(recorder) = &mut self.parts.recorder {
            recorder.record(now, &event);
        }
        let actions = self.parts.agent.handle(now, event);
        self.parts.shared.lease.set(self.parts.agent.lease_until());
        for action in actions {
            self.carry_out(action);
        }
    }

    /// Takes note of what the agent does not keep.
    fn before(&mut self, event: &Event) {
        match event {
            Event::Announced(announcement) => {
                self.parts.upstream.announced(announcement);
                self.announced = Some(announcement.clone());
            }
            Event::CheckedIn(check_in) => {
                self.announced = Some(check_in.announcement.clone());
            }
            Event::PeerRecords { records, .. } => {
                self.parts.shared.note_log_read();
                self.keep(records);
            }
            Event::Records { records, .. } => self.keep(records),
            _ => {}
        }
    }

    fn keep(&mut self, records: &[(Offset, String)]) {
        for (offset, body) in records {
            self.parts.shared.records.push(*offset, body);
            self.parts.cursor.fetch_max(offset + 1, Ordering::SeqCst);
            if let Ok(record) = serde_json::from_str::<Record>(body) {
                self.note(*offset, &record);
            }
        }
    }

    fn note(&mut self, offset: Offset, record: &Record) {
        if let Some(pending) = self.pending.remove(&record.id) {
            let _ = pending.read_back.send(());
        }
        if let Body::Move { from, units, .. } = &record.body
            && *from == self.parts.shared.vm
        {
            let now = self.parts.shared.clock.now();
            let began = units.iter().map(|moved| self.draining.remove(&moved.unit));
            if let Some(began) = began.flatten().min() {
                let metrics = &self.parts.shared.metrics;
                metrics.time("move", now.saturating_sub(began));
            }
        }
        if let Body::Move { to, units, .. } = &record.body
            && *to == self.parts.shared.vm
        {
            self.parts.handovers.record_move(offset, units);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::AnswerCheckIn(answer) => self.answer_check_in(answer),
            Action::Append(record) => self.append_for_agent(record),
            Action::LogDecision(decision) => self.log_decision(&decision),
            Action::Drain { units } => {
                let now = self.parts.shared.clock.now();
                self.draining
                    .extend(units.iter().map(|unit| (unit.clone(), now)));
                self.publish();
                self.parts.home.drain(units);
            }
            Action::Grant(grant) => self.parts.upstream.grant(grant),
            Action::Probe => self.parts.upstream.probe(),
            Action::Pull {
                address,
                from,
                peer,
            } => self.parts.transfer.pull(peer, address, from),
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

    /// Publishes what may be dispatched, and then tells the upstream.
    fn answer_check_in(&mut self, answer: CheckInAnswer) {
        if let Some(tx) = self.checking_in.remove(&answer.id) {
            self.publish();
            let _ = tx.send(answer);
        }
    }

    fn append_for_agent(&mut self, record: Record) {
        let next_owner = match &record.body {
            Body::Move { to, .. } => self.parts.agent.fleet().members().get(to),
            _ => None,
        };
        match next_owner {
            Some(member) => self.parts.transfer.hand_over(record, member.join.peer),
            None => self.parts.writer.append(record),
        }
    }

    /// Publishes what traffic threads need to know, if it has changed.
    fn publish(&mut self) {
        let now = self.parts.shared.clock.now();
        let agent = &self.parts.agent;
        let present = self.parts.shared.view();
        let fleet = self
            .fleet_copy
            .of(agent.fleet(), now, &self.parts.shared.clock);
        let serving = if *present.serving == *agent.serving_units() {
            Arc::clone(&present.serving)
        } else {
            Arc::new(agent.serving_units().clone())
        };
        let status = Arc::new(agent.status(now));
        let upstream = self.accepted_upstream(&status);
        self.parts.shared.publish(View {
            first_hand: agent.can_answer_pulls(now),
            fleet,
            informed: agent.is_informed(now),
            run_until: agent.request_deadline(),
            serving,
            status,
            upstream,
        });
    }

    fn accepted_upstream(&self, status: &Status) -> Option<Arc<Announcement>> {
        let announced = self.announced.as_ref()?;
        let accepted = status.upstream_instance.as_ref() == Some(&announced.instance);
        accepted.then(|| Arc::new(announced.clone()))
    }
}
