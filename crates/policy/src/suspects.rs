//! Detection and isolation of requests that crash the upstream of a home.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::CrashObservation;
use crate::Fingerprint;
use crate::QuarantineAction;
use crate::SuspicionLevel;
use crate::Ticket;

/// Time for which a home keeps its own observations of crashes.
pub const SUSPICION_TIME: Duration = Duration::from_secs(600);

/// Time for which a request is refused after a crash that identified it. It then runs alone again.
pub const REFUSAL_TIME: Duration = Duration::from_secs(30);

/// Decision on whether a request starts now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartDecision {
    /// The request has started.
    Started,
    /// The request must wait until others have ended.
    Wait,
    /// The request is refused as not run.
    Refused,
}

/// Requests that may crash the upstream of a home.
///
/// All requests that are running when the upstream crashes become suspects, also if there is only one: most crashes are
/// not caused by a request. A suspect runs only while no other request runs, so that a second crash identifies the request
/// that caused it. It is refused for a time, and then runs alone once more. A suspect that completes without a crash is
/// cleared.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// Levels recorded in the log.
    fleet_levels: BTreeMap<Fingerprint, SuspicionLevel>,
    /// This home's own observations.
    own: BTreeMap<Fingerprint, OwnSuspicion>,
    running: BTreeMap<Ticket, Fingerprint>,
    running_alone: Option<Ticket>,
    waiting_alone: Option<Ticket>,
}

/// Suspicion of a request from a home's own observations.
#[derive(Clone, Copy, Debug)]
struct OwnSuspicion {
    expires_at: Duration,
    /// Time until which the request is refused.
    refused_until: Duration,
}

impl OwnSuspicion {
    fn level_at(self, now: Duration) -> Option<SuspicionLevel> {
        if now < self.refused_until {
            Some(SuspicionLevel::Refused)
        } else {
            (now < self.expires_at).then_some(SuspicionLevel::Suspect)
        }
    }
}

impl Suspects {
    /// Returns the treatment of a request.
    pub fn action_for(&self, now: Duration, fingerprint: &str) -> QuarantineAction {
        let own = self.own.get(fingerprint);
        let own = own.and_then(|own| own.level_at(now));
        match own.max(self.fleet_levels.get(fingerprint).copied()) {
            None => QuarantineAction::Free,
            Some(SuspicionLevel::Suspect) => QuarantineAction::RunAlone,
            Some(SuspicionLevel::Refused) => QuarantineAction::Refuse,
        }
    }

    /// Replaces the levels recorded in the log.
    ///
    /// A fingerprint that is no longer recorded was cleared or has expired, so the home's own
    /// observation of it is dropped too.
    pub fn set_fleet_levels(&mut self, levels: BTreeMap<Fingerprint, SuspicionLevel>) {
        for fingerprint in self.fleet_levels.keys() {
            if !levels.contains_key(fingerprint) {
                self.own.remove(fingerprint);
            }
        }
        self.fleet_levels = levels;
    }

    /// Records that a request was cleared, by an operator or because it ran alone without a crash.
    pub fn clear(&mut self, fingerprint: &str) {
        self.fleet_levels.remove(fingerprint);
        self.own.remove(fingerprint);
    }

    /// Starts a request unless it is refused or has to wait for other requests.
    ///
    /// While a suspect waits, no other request starts, until the suspect starts or
    /// [`Suspects::cancel_wait`] is called.
    pub fn try_start(&mut self, now: Duration, ticket: Ticket, fingerprint: &str) -> StartDecision {
        let start = match self.action_for(now, fingerprint) {
            QuarantineAction::Refuse => StartDecision::Refused,
            QuarantineAction::Free => self.start_concurrently(ticket),
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

    /// Records that a waiting request will not start.
    pub fn cancel_wait(&mut self, ticket: Ticket) {
        self.waiting_alone = self.waiting_alone.filter(|waiting| *waiting != ticket);
    }

    /// Records the end of a request; `completed` states whether the upstream ran it to completion.
    ///
    /// Returns the fingerprint of a suspect that is thereby cleared, to be recorded in the log.
    pub fn record_finish(&mut self, ticket: Ticket, completed: bool) -> Option<Fingerprint> {
        let fingerprint = self.running.remove(&ticket)?;
        if self.running_alone != Some(ticket) {
            return None;
        }
        self.running_alone = None;
        if !completed {
            return None;
        }
        self.clear(&fingerprint);
        Some(fingerprint)
    }

    /// Records that the upstream crashed, and returns the observations to be recorded in the log.
    pub fn record_crash(&mut self, now: Duration) -> Vec<CrashObservation> {
        self.own.retain(|_, own| now < own.expires_at);
        let isolated = self.running_alone.take();
        let running = std::mem::take(&mut self.running);
        let alone = running.keys().any(|ticket| isolated == Some(*ticket));
        let fingerprints: BTreeSet<Fingerprint> = running.into_values().collect();
        for fingerprint in &fingerprints {
            let known = self.own.get(fingerprint);
            let refused_until = match alone {
                true => now + REFUSAL_TIME,
                false => known.map_or(Duration::ZERO, |known| known.refused_until),
            };
            let own = OwnSuspicion {
                expires_at: now + SUSPICION_TIME,
                refused_until,
            };
            self.own.insert(fingerprint.clone(), own);
        }
        let observe = |fingerprint| CrashObservation { alone, fingerprint };
        fingerprints.into_iter().map(observe).collect()
    }

    fn start_concurrently(&self, _ticket: Ticket) -> StartDecision {
        if self.running_alone.is_some() || self.waiting_alone.is_some() {
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
        self.running_alone = Some(ticket);
        StartDecision::Started
    }
}
