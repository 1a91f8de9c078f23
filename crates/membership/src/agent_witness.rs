//! Heartbeats that an agent sends, and those that it answers as a witness.

use std::net::SocketAddr;
use std::time::Duration;

use cluster::Body;
use ids::VmId;
use ids::generation_of;

use crate::Action;
use crate::Agent;
use crate::Decision;
use crate::Heartbeat;
use crate::HeartbeatAnswer;
use crate::schedule::is_due;
use crate::times::FIRST_STATE_PULL_DELAY;
use crate::times::PULL_AFTER_LAG;
use crate::times::PULL_INTERVAL;
use crate::times::REWITNESS_INTERVAL;

impl Agent {
    /// Answers a heartbeat. A witness renews only while it has contact with its own witnesses, so
    /// that a witness that is lost stops renewing by a known time. It answers none while it joins anew, since its
    /// `Join` states that this incarnation has stopped renewing.
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
        self.overdue_reads.record_peer(heartbeat.next);
        if let Some(known) = heartbeat.declarations {
            self.declaration_freshness.record_peer(now, known);
        }
        let contact = self
            .watched_members
            .record_heartbeat(now, self.log.fleet(), heartbeat);
        // A member that follows a former generation of the log may serve what has another owner in this one.
        let is_current =
            generation_of(heartbeat.next) >= generation_of(self.log.fleet().next_offset());
        if self.is_joining_anew() {
            return;
        }
        let renewal = contact && is_current && self.lease.has_contact(now);
        if renewal {
            self.watched_members.record_renewal(now, &heartbeat.from);
        }
        let answer = HeartbeatAnswer {
            contact,
            declarations: self.declaration_freshness.known(now),
            incarnation: heartbeat.incarnation,
            next: self.log.next_offset(),
            renewal,
            sequence: heartbeat.sequence,
            witness: self.cfg.vm.clone(),
            witness_incarnation,
        };
        actions.push(Action::SendHeartbeatAnswer { answer, to });
    }

    /// Reports whether this member has appended a `Join` that ends its current incarnation. What it does for others or itself
    /// under this incarnation after the append is not covered by the waits that follow from the record.
    fn is_joining_anew(&self) -> bool {
        self.appends.any(|body| matches!(body, Body::Join(_)))
    }

    /// Handles the answer of a witness. A renewal does not count while this member joins anew, since new owners wait for the
    /// lease that it had before its `Join`. Pulls records from the witness if it has read more of the log
    /// and this process cannot read the log or does not catch up in time.
    pub(crate) fn handle_heartbeat_answer(
        &mut self,
        now: Duration,
        answer: &HeartbeatAnswer,
        actions: &mut Vec<Action>,
    ) {
        if self.state.witness_incarnation() == Some(answer.incarnation) {
            let renewal = answer.renewal && !self.is_joining_anew();
            let answer = HeartbeatAnswer {
                renewal,
                ..answer.clone()
            };
            self.lease.record_answer(&answer);
        }
        self.overdue_reads.record_peer(answer.next);
        if let Some(known) = answer.declarations {
            self.declaration_freshness.record_peer(now, known);
        }
        if answer.next <= self.log.next_offset() {
            self.schedule.behind_since = None;
            return;
        }
        let since = *self.schedule.behind_since.get_or_insert(now);
        let is_behind = if self.log.is_reading_first_state() {
            now >= since + FIRST_STATE_PULL_DELAY
        } else {
            !self.log.is_healthy(now) || now >= since + PULL_AFTER_LAG
        };
        if is_behind && is_due(&mut self.schedule.next_pull, now, PULL_INTERVAL) {
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
        if !is_due(&mut self.schedule.next_pull, now, PULL_INTERVAL) {
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
        self.lease.recompute(now);
        let Some(incarnation) = self.state.witness_incarnation() else {
            return;
        };
        for (vm, sequence) in self.lease.due_heartbeats(now, &mut self.sequence) {
            let Some(witness) = self.log.fleet().members().get(&vm) else {
                continue;
            };
            let heartbeat = Heartbeat {
                declarations: self.declaration_freshness.known(now),
                from: self.cfg.vm.clone(),
                incarnation,
                next: self.log.fleet().next_offset(),
                sequence,
            };
            let to = witness.join.peer;
            actions.push(Action::SendHeartbeat { heartbeat, to });
        }
    }

    /// Appends the suspicions of members that this witness has stopped renewing for good.
    pub(crate) fn report_suspicions(
        &mut self,
        now: Duration,
        was_paused: bool,
        actions: &mut Vec<Action>,
    ) {
        let suspicions = self.watched_members.suspect_silent(now, was_paused);
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

    /// Requests better witnesses, or releases the former ones once the current ones renew.
    ///
    /// Current witnesses that are lost cannot renew, so other ones are requested in that case.
    pub(crate) fn replace_witnesses(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_pending = |body: &Body| matches!(body, Body::Rewitness { .. });
        let due = match self.lease.is_lost() {
            true => self
                .schedule
                .next_rewitness
                .min(self.schedule.next_lost_rewitness),
            false => self.schedule.next_rewitness,
        };
        let is_early = now < due && !self.witnesses.is_unwitnessed();
        let must_wait = is_early || self.appends.any(is_pending);
        let is_ready = self.release_former_witnesses(now);
        let releases = self.log.fleet().rewitness_releases_former(&self.cfg.vm);
        if must_wait || (releases && !is_ready) {
            return;
        }
        self.schedule.next_rewitness = now + REWITNESS_INTERVAL;
        self.schedule.next_lost_rewitness = now + REWITNESS_INTERVAL;
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
                self.witnesses.record_request(now);
                self.lease.set_quorums(self.witnesses.quorums());
            }
            self.appends.append(now, body, actions);
        }
    }

    /// Stops counting the former witnesses once the current ones renew. Reports whether no grant that
    /// depends on the former ones outlasts the current lease.
    fn release_former_witnesses(&mut self, now: Duration) -> bool {
        if self.witnesses.has_former() {
            if !self.lease.is_renewed_by_current(now) {
                return false;
            }
            self.witnesses.release_former(self.upstream.held_until());
            self.lease.set_quorums(self.witnesses.quorums());
            self.lease.recompute(now);
        }
        let granted_until = self.witnesses.former_grants_until();
        now > granted_until || self.lease.end() >= Some(granted_until)
    }
}
