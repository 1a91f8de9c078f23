//! Heartbeats that an agent sends, and those that it answers as a witness.

use std::net::SocketAddr;
use std::time::Duration;

use cluster::Body;
use ids::VmId;

use crate::Action;
use crate::Agent;
use crate::Decision;
use crate::Heartbeat;
use crate::HeartbeatAnswer;
use crate::pace::is_due;
use crate::times::BEHIND_PULL;
use crate::times::PULL_PAUSE;
use crate::times::REWITNESS_PAUSE;

impl Agent {
    /// Answers a heartbeat. A witness renews only while it has contact with its own witnesses, so
    /// that a witness that is lost stops renewing by a known time.
    pub(crate) fn answer_heartbeat(
        &mut self,
        now: Duration,
        to: SocketAddr,
        heartbeat: &Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        let Some(witness_incarnation) = self.state.witness_incarnation() else {
            return;
        };
        let contact = self.watches.hear(now, self.log.fleet(), heartbeat);
        let renewal = contact && self.lease.has_contact(now);
        if renewal {
            self.watches.renewed(now, &heartbeat.from);
        }
        let answer = HeartbeatAnswer {
            contact,
            incarnation: heartbeat.incarnation,
            next: self.log.next_offset(),
            renewal,
            sequence: heartbeat.sequence,
            witness: self.cfg.vm.clone(),
            witness_incarnation,
        };
        actions.push(Action::SendHeartbeatAnswer { answer, to });
    }

    /// Handles the answer of a witness. Pulls records from the witness if it has read more of the log
    /// and this process cannot read the log or does not catch up in time.
    pub(crate) fn handle_heartbeat_answer(
        &mut self,
        now: Duration,
        answer: &HeartbeatAnswer,
        actions: &mut Vec<Action>,
    ) {
        if self.state.witness_incarnation() == Some(answer.incarnation) {
            self.lease.answered(answer);
        }
        if answer.next <= self.log.next_offset() {
            self.pace.behind = None;
            return;
        }
        let since = *self.pace.behind.get_or_insert(now);
        let is_behind = !self.log.is_healthy(now) || now >= since + BEHIND_PULL;
        if is_behind && is_due(&mut self.pace.pull, now, PULL_PAUSE) {
            self.pull(&answer.witness, actions);
        }
    }

    fn pull(&self, peer: &VmId, actions: &mut Vec<Action>) {
        if let Some(member) = self.log.fleet().members().get(peer) {
            actions.push(Action::Pull {
                address: member.join.peer,
                from: self.log.next_offset(),
                peer: peer.clone(),
            });
        }
    }

    /// Pulls records from any peer while neither the log nor enough witnesses can be reached.
    pub(crate) fn pull_from_any(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.log.is_healthy(now) || self.lease.has_contact(now) {
            return;
        }
        if !is_due(&mut self.pace.pull, now, PULL_PAUSE) {
            return;
        }
        self.sequence += 1;
        let others = self.log.fleet().members().keys();
        let others: Vec<&VmId> = others.filter(|vm| **vm != self.cfg.vm).collect();
        if let Some(count) = std::num::NonZeroU64::new(others.len() as u64) {
            let peer = others[(self.sequence % count) as usize].clone();
            self.pull(&peer, actions);
        }
    }

    /// Recomputes the lease, and sends the heartbeats that are due.
    pub(crate) fn send_heartbeats(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.lease.renew(now);
        let Some(incarnation) = self.state.witness_incarnation() else {
            return;
        };
        for (vm, sequence) in self.lease.heartbeats(now, &mut self.sequence) {
            let Some(witness) = self.log.fleet().members().get(&vm) else {
                continue;
            };
            let heartbeat = Heartbeat {
                from: self.cfg.vm.clone(),
                incarnation,
                next: self.log.next_offset(),
                sequence,
            };
            let to = witness.join.peer;
            actions.push(Action::SendHeartbeat { heartbeat, to });
        }
    }

    /// Records in the log which members this witness has stopped renewing for good.
    pub(crate) fn report_suspicions(
        &mut self,
        now: Duration,
        was_paused: bool,
        actions: &mut Vec<Action>,
    ) {
        let suspicions = self.watches.tick(now, was_paused);
        let Some(incarnation) = self
            .state
            .witness_incarnation()
            .filter(|_| !suspicions.is_empty())
        else {
            return;
        };
        for suspicion in &suspicions {
            actions.push(Action::LogDecision(Decision::Suspected {
                vm: suspicion.vm.clone(),
                incarnation: suspicion.incarnation,
            }));
        }
        let body = Body::Suspect {
            vm: self.cfg.vm.clone(),
            incarnation,
            suspicions,
        };
        self.appends.append(now, body, actions);
    }

    /// Requests better witnesses, or releases the former ones once the present ones renew.
    ///
    /// Present witnesses that are gone cannot renew, so further ones are requested in that case.
    pub(crate) fn replace_witnesses(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_pending = |body: &Body| matches!(body, Body::Rewitness { .. });
        let due = match self.lease.is_lost() {
            true => self.pace.rewitness.min(self.pace.rewitness_lost),
            false => self.pace.rewitness,
        };
        let is_early = now < due && !self.witnesses.is_alone();
        let must_wait = is_early || self.appends.any(is_pending);
        let is_ready = self.release_former_witnesses(now);
        let releases = self.log.fleet().rewitness_releases_former(&self.cfg.vm);
        if must_wait || (releases && !is_ready) {
            return;
        }
        self.pace.rewitness = now + REWITNESS_PAUSE;
        self.pace.rewitness_lost = now + REWITNESS_PAUSE;
        let fleet = self.log.fleet();
        let (Some(member), Some(incarnation)) =
            (fleet.members().get(&self.cfg.vm), self.state.incarnation())
        else {
            return;
        };
        if self.log.is_healthy(now) && fleet.needs_rewitness(&self.cfg.vm) {
            let body = Body::Rewitness {
                vm: self.cfg.vm.clone(),
                incarnation,
                base: member.witnesses_since,
            };
            if !releases {
                self.witnesses.ask(now);
                self.lease.need(self.witnesses.quorums());
            }
            self.appends.append(now, body, actions);
        }
    }

    /// Stops counting the former witnesses once the present ones renew. Reports whether no grant that
    /// rests on the former ones outlasts the current lease.
    fn release_former_witnesses(&mut self, now: Duration) -> bool {
        if self.witnesses.has_former() {
            if !self.lease.is_renewed_by_present(now) {
                return false;
            }
            self.witnesses.release_former(self.upstream.held_until());
            self.lease.need(self.witnesses.quorums());
            self.lease.renew(now);
        }
        let granted_until = self.witnesses.granted_until();
        now > granted_until || self.lease.until() >= Some(granted_until)
    }
}
