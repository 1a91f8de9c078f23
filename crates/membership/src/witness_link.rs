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
    contact: Option<Duration>,
    due: Duration,
    refused: bool,
    renewed: Option<Duration>,
    sent: BTreeMap<u64, Duration>,
}

impl WitnessLink {
    /// Notes a heartbeat that is sent now, if one is due.
    pub(crate) fn send(&mut self, now: Duration, sequence: u64) -> bool {
        if now < self.due {
            return false;
        }
        self.sent.retain(|_, sent_at| *sent_at + LEASE > now);
        let is_silent =
            self.sent.len() > (LEASE.as_millis() / HEARTBEAT_RETRY.as_millis()) as usize / 2;
        let pause = if is_silent {
            HEARTBEAT_INTERVAL
        } else {
            HEARTBEAT_RETRY
        };
        self.due = now + pause;
        self.sent.insert(sequence, now);
        true
    }

    /// Takes an answer. What it gives counts from the time at which the heartbeat was sent.
    pub(crate) fn answered(&mut self, answer: &HeartbeatAnswer) {
        let Some(sent_at) = self.sent.remove(&answer.sequence) else {
            return;
        };
        self.sent.retain(|_, other| *other > sent_at);
        let pause = if answer.contact && !answer.renewal {
            RENEWAL_RETRY
        } else {
            HEARTBEAT_INTERVAL
        };
        self.due = sent_at + pause;
        self.refused = !answer.contact;
        if answer.contact {
            self.contact = self.contact.max(Some(sent_at));
        }
        if answer.renewal {
            self.renewed = self.renewed.max(Some(sent_at));
        }
    }

    /// Returns when the newest heartbeat was sent that the witness answered with contact.
    pub(crate) fn contact(&self) -> Option<Duration> {
        self.contact
    }

    /// Returns when the newest heartbeat was sent that the witness answered with a renewal.
    pub(crate) fn renewed(&self) -> Option<Duration> {
        self.renewed
    }

    /// Tells whether the witness ended contact for good.
    pub(crate) fn refused(&self) -> bool {
        self.refused
    }
}
