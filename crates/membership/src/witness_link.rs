//! Heartbeats to one witness.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::LEASE;

use crate::HeartbeatAnswer;
use crate::times::HEARTBEAT_INTERVAL;
use crate::times::HEARTBEAT_RETRY;
use crate::times::RENEWAL_RETRY;

/// Heartbeats to one witness, and what it answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct WitnessLink {
    last_contact: Option<Duration>,
    next_send: Duration,
    has_refused: bool,
    last_renewal: Option<Duration>,
    sent: BTreeMap<u64, Duration>,
}

impl WitnessLink {
    /// Notes a heartbeat that is sent now, if one is due.
    pub(crate) fn send_if_due(&mut self, now: Duration, sequence: u64) -> bool {
        if now < self.next_send {
            return false;
        }
        self.sent.retain(|_, sent_at| *sent_at + LEASE > now);
        let is_silent =
            self.sent.len() > (LEASE.as_millis() / HEARTBEAT_RETRY.as_millis()) as usize / 2;
        let delay = if is_silent {
            HEARTBEAT_INTERVAL
        } else {
            HEARTBEAT_RETRY
        };
        self.next_send = now + delay;
        self.sent.insert(sequence, now);
        true
    }

    /// Takes an answer. What it gives counts from the time at which the heartbeat was sent.
    pub(crate) fn record_answer(&mut self, answer: &HeartbeatAnswer) {
        let Some(sent_at) = self.sent.remove(&answer.sequence) else {
            return;
        };
        self.sent.retain(|_, other| *other > sent_at);
        let delay = if answer.contact && !answer.renewal {
            RENEWAL_RETRY
        } else {
            HEARTBEAT_INTERVAL
        };
        self.next_send = sent_at + delay;
        self.has_refused = !answer.contact;
        if answer.contact {
            self.last_contact = self.last_contact.max(Some(sent_at));
        }
        if answer.renewal {
            self.last_renewal = self.last_renewal.max(Some(sent_at));
        }
    }

    /// Returns when the newest heartbeat was sent that the witness answered with contact.
    pub(crate) fn last_contact(&self) -> Option<Duration> {
        self.last_contact
    }

    /// Returns when the newest heartbeat was sent that the witness answered with a renewal.
    pub(crate) fn last_renewal(&self) -> Option<Duration> {
        self.last_renewal
    }

    /// Tells whether the witness ended contact for good.
    pub(crate) fn has_refused(&self) -> bool {
        self.has_refused
    }
}
