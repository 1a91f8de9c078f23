//! Requests that may crash an upstream, at a home.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::CrashObservation;
use crate::Fingerprint;
use crate::QuarantineAction;
use crate::SuspicionLevel;
use crate::Ticket;

/// Time for which a home remembers its own observations.
pub const SUSPICION_TIME: Duration = Duration::from_secs(600);

/// Decision whether a request starts now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartDecision {
    /// It has started.
    Started,
    /// It starts when others have ended.
    Wait,
    /// It is refused as not run.
    Refused,
}

/// Requests that may crash an upstream, at the home of the upstream.
///
/// Requests that run while the upstream crashes become suspects. A suspect runs while nothing else runs,
/// so that a second crash tells which one it was. One that ends without a crash is cleared.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    alone: Option<Ticket>,
    fleet: BTreeMap<Fingerprint, SuspicionLevel>,
    own: BTreeMap<Fingerprint, (SuspicionLevel, Duration)>,
    running: BTreeMap<Ticket, Fingerprint>,
    waiting_alone: Option<Ticket>,
}

impl Suspects {
    /// Returns how a request is run.
    pub fn action_for(&self, now: Duration, fingerprint: &str) -> QuarantineAction {
        let own = self.own.get(fingerprint);
        let own = own.filter(|(_, expires_at)| now < *expires_at);
        let own = own.map(|(standing, _)| *standing);
        match own.max(self.fleet.get(fingerprint).copied()) {
            None => QuarantineAction::Free,
            Some(SuspicionLevel::Suspect) => QuarantineAction::RunAlone,
            Some(SuspicionLevel::Refused) => QuarantineAction::Refuse,
        }
    }

    /// Replaces what the fleet knows. What it no longer knows was cleared, or has expired.
    pub fn set_fleet_levels(&mut self, fleet: BTreeMap<Fingerprint, SuspicionLevel>) {
        for fingerprint in self.fleet.keys() {
            if !fleet.contains_key(fingerprint) {
                self.own.remove(fingerprint);
            }
        }
        self.fleet = fleet;
    }

    /// Takes in that a request was cleared, by an operator or after it ran alone.
    pub fn clear(&mut self, fingerprint: &str) {
        self.fleet.remove(fingerprint);
        self.own.remove(fingerprint);
    }

    /// Starts a request if others that run allow it.
    ///
    /// A suspect that waits holds back all others, until it starts or [`Suspects::cancel_wait`] is called.
    pub fn try_start(&mut self, now: Duration, ticket: Ticket, fingerprint: &str) -> StartDecision {
        let start = match self.action_for(now, fingerprint) {
            QuarantineAction::Refuse => StartDecision::Refused,
            QuarantineAction::Free => self.start_beside(ticket),
            QuarantineAction::RunAlone => self.start_alone(ticket),
        };
        if start == StartDecision::Started {
            self.running.insert(ticket, fingerprint.to_owned());
        }
        if start == StartDecision::Refused {
            self.cancel_wait(ticket);
        }
        start
    }

    /// Takes in that a request that waits will not start.
    pub fn cancel_wait(&mut self, ticket: Ticket) {
        self.waiting_alone = self.waiting_alone.filter(|waiting| *waiting != ticket);
    }

    /// Takes in the end of a request; `ran` tells whether the upstream ran it to its end.
    ///
    /// Returns the fingerprint of a suspect that is cleared, to be recorded in the log.
    pub fn record_finish(&mut self, ticket: Ticket, ran: bool) -> Option<Fingerprint> {
        let fingerprint = self.running.remove(&ticket)?;
        if self.alone != Some(ticket) {
            return None;
        }
        self.alone = None;
        if !ran {
            return None;
        }
        self.clear(&fingerprint);
        Some(fingerprint)
    }

    /// Takes in that the upstream crashed, and returns what is to be recorded in the log.
    pub fn record_crash(&mut self, now: Duration) -> Vec<CrashObservation> {
        self.own.retain(|_, (_, expires_at)| now < *expires_at);
        self.alone = None;
        let running = std::mem::take(&mut self.running);
        let accused: BTreeSet<Fingerprint> = running.into_values().collect();
        let alone = accused.len() == 1;
        for fingerprint in &accused {
            let standing = self.standing_after_crash(fingerprint, alone);
            let expires_at = now + SUSPICION_TIME;
            self.own.insert(fingerprint.clone(), (standing, expires_at));
        }
        let accuse = |fingerprint| CrashObservation { alone, fingerprint };
        accused.into_iter().map(accuse).collect()
    }

    fn standing_after_crash(&self, fingerprint: &str, alone: bool) -> SuspicionLevel {
        let was_known = self.own.contains_key(fingerprint) || self.fleet.contains_key(fingerprint);
        if alone || was_known {
            SuspicionLevel::Refused
        } else {
            SuspicionLevel::Suspect
        }
    }

    fn start_beside(&self, _ticket: Ticket) -> StartDecision {
        if self.alone.is_some() || self.waiting_alone.is_some() {
            return StartDecision::Wait;
        }
        StartDecision::Started
    }

    fn start_alone(&mut self, ticket: Ticket) -> StartDecision {
        if self.waiting_alone.is_some_and(|waiting| waiting != ticket) {
            return StartDecision::Wait;
        }
        if !self.running.is_empty() {
            self.waiting_alone = Some(ticket);
            return StartDecision::Wait;
        }
        self.waiting_alone = None;
        self.alone = Some(ticket);
        StartDecision::Started
    }
}
