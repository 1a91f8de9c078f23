//! Authenticated datagrams between processes: heartbeats, their answers, loads, and the exchange of roll-outs.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;

use membership::Event;
use membership::Heartbeat;
use membership::HeartbeatAnswer;
use membership::KnownDeclarations;
use tokio::net::UdpSocket;
use wire::Datagram;
use wire::MemberLoads;
use wire::ReplayGuard;
use wire::RolloutPermit;
use wire::RolloutReport;
use wire::Secret;
use wire::decode_datagram;
use wire::encode_datagram;

use crate::control::IncomingDatagram;
use crate::shared::Shared;

/// Longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Sends and receives authenticated datagrams.
pub(crate) struct DatagramSocket {
    buf: Vec<u8>,
    heartbeat_guard: ReplayGuard,
    loads_guard: ReplayGuard,
    permit_guard: ReplayGuard,
    report_guard: ReplayGuard,
    secret: Secret,
    shared: Arc<Shared>,
    socket: UdpSocket,
}

impl DatagramSocket {
    pub(crate) fn new(secret: Secret, shared: Arc<Shared>, socket: UdpSocket) -> Self {
        Self {
            buf: vec![0; MAX_DATAGRAM_BYTES],
            heartbeat_guard: ReplayGuard::default(),
            loads_guard: ReplayGuard::default(),
            permit_guard: ReplayGuard::default(),
            report_guard: ReplayGuard::default(),
            secret,
            shared,
            socket,
        }
    }

    /// Waits for the next datagram. Returns `None` for one that is dropped.
    pub(crate) async fn receive(&mut self) -> Option<IncomingDatagram> {
        match self.socket.recv_from(&mut self.buf).await {
            Ok((length, from)) => self.accept(length, from),
            Err(error) => {
                log::debug!("datagram not received: {error}");
                None
            }
        }
    }

    /// Returns all datagrams that can be received without waiting, except dropped ones.
    pub(crate) fn receive_pending(&mut self) -> Vec<IncomingDatagram> {
        let mut datagrams = Vec::new();
        loop {
            match self.socket.try_recv_from(&mut self.buf) {
                Ok((length, from)) => datagrams.extend(self.accept(length, from)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return datagrams,
                Err(error) => log::debug!("datagram not received: {error}"),
            }
        }
    }

    fn accept(&mut self, length: usize, from: SocketAddr) -> Option<IncomingDatagram> {
        self.shared.control_traffic.count_datagram(length);
        match decode_datagram(&self.secret, &self.buf[..length]) {
            Ok(Datagram::Heartbeat(heartbeat)) => self.accept_heartbeat(heartbeat, from),
            Ok(Datagram::HeartbeatAnswer(answer)) => {
                Some(IncomingDatagram::Event(heartbeat_answered(answer)))
            }
            Ok(Datagram::MemberLoads(loads)) => self.accept_loads(loads),
            Ok(Datagram::RolloutPermit(permit)) => self.accept_permit(permit),
            Ok(Datagram::RolloutReport(report)) => self.accept_report(report),
            Err(error) => {
                log::debug!("datagram from {from} dropped: {error}");
                self.drop_datagram("invalid")
            }
        }
    }

    fn accept_heartbeat(
        &mut self,
        heartbeat: wire::Heartbeat,
        address: SocketAddr,
    ) -> Option<IncomingDatagram> {
        if !self
            .heartbeat_guard
            .accept(&heartbeat.vm, heartbeat.incarnation, heartbeat.sequence)
        {
            return self.drop_datagram("replayed");
        }
        Some(IncomingDatagram::Event(Event::Heartbeat {
            address,
            heartbeat: Heartbeat {
                declarations: heartbeat.declarations.map(known_declarations),
                from: heartbeat.vm,
                incarnation: heartbeat.incarnation,
                next: heartbeat.offset,
                sequence: heartbeat.sequence,
            },
        }))
    }

    fn accept_loads(&mut self, loads: MemberLoads) -> Option<IncomingDatagram> {
        let is_new = self
            .loads_guard
            .accept(&loads.vm, loads.incarnation, loads.sequence);
        if !is_new {
            return self.drop_datagram("replayed");
        }
        Some(IncomingDatagram::Loads(loads))
    }

    fn accept_permit(&mut self, permit: RolloutPermit) -> Option<IncomingDatagram> {
        let is_new = self
            .permit_guard
            .accept(&permit.vm, permit.incarnation, permit.sequence);
        if !is_new {
            return self.drop_datagram("replayed");
        }
        Some(IncomingDatagram::Permit(permit))
    }

    fn accept_report(&mut self, report: RolloutReport) -> Option<IncomingDatagram> {
        let is_new = self
            .report_guard
            .accept(&report.vm, report.incarnation, report.sequence);
        if !is_new {
            return self.drop_datagram("replayed");
        }
        Some(IncomingDatagram::Report(report))
    }

    fn drop_datagram(&self, reason: &str) -> Option<IncomingDatagram> {
        self.shared.metrics.count_event("datagram-dropped", reason);
        None
    }

    /// Sends a heartbeat to a witness.
    pub(crate) fn send_heartbeat(&self, heartbeat: Heartbeat, to: SocketAddr) {
        let sent = self.shared.clock.now().as_millis();
        let datagram = Datagram::Heartbeat(wire::Heartbeat {
            vm: heartbeat.from,
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            sent_ms: u64::try_from(sent).unwrap_or(u64::MAX),
            offset: heartbeat.next,
            declarations: heartbeat.declarations.map(wire_declarations),
        });
        self.send(&datagram, to);
    }

    /// Answers the heartbeat of a member.
    pub(crate) fn send_answer(&self, answer: HeartbeatAnswer, to: SocketAddr) {
        let datagram = Datagram::HeartbeatAnswer(wire::HeartbeatAnswer {
            witness: answer.witness,
            witness_incarnation: answer.witness_incarnation,
            incarnation: answer.incarnation,
            sequence: answer.sequence,
            contact: answer.contact,
            renewal: answer.renewal,
            offset: answer.next,
            declarations: answer.declarations.map(wire_declarations),
        });
        self.send(&datagram, to);
    }

    /// Sends the loads of members to another member.
    pub(crate) fn send_loads(&self, loads: MemberLoads, to: SocketAddr) {
        self.send(&Datagram::MemberLoads(loads), to);
    }

    /// Sends a datagram.
    pub(crate) fn send(&self, datagram: &Datagram, to: SocketAddr) {
        let bytes = encode_datagram(&self.secret, datagram);
        self.shared.control_traffic.count_datagram(bytes.len());
        if let Err(error) = self.socket.try_send_to(&bytes, to) {
            log::debug!("datagram to {to} not sent: {error}");
        }
    }
}

fn heartbeat_answered(answer: wire::HeartbeatAnswer) -> Event {
    Event::HeartbeatAnswered(HeartbeatAnswer {
        contact: answer.contact,
        declarations: answer.declarations.map(known_declarations),
        incarnation: answer.incarnation,
        next: answer.offset,
        renewal: answer.renewal,
        sequence: answer.sequence,
        witness: answer.witness,
        witness_incarnation: answer.witness_incarnation,
    })
}

fn known_declarations(declarations: wire::Declarations) -> KnownDeclarations {
    KnownDeclarations {
        age_ms: declarations.age_ms,
        position: declarations.position,
    }
}

fn wire_declarations(known: KnownDeclarations) -> wire::Declarations {
    wire::Declarations {
        age_ms: known.age_ms,
        position: known.position,
    }
}
