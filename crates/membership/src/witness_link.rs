//! The exchange of heartbeats with one witness.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::LEASE;

use crate::HeartbeatAnswer;
use crate::times::HEARTBEAT_INTERVAL;
use crate::times::HEARTBEAT_RETRY;
use crate::times::RENEWAL_RETRY;

/// Heartbeats sent to one witness, and its answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct WitnessLink {
    has_refused: bool,
    last_contact: Option<Duration>,
    last_renewal: Option<Duration>,
    next_send: Duration,
    sent: BTreeMap<u64, Duration>,
}

impl WitnessLink {
    /// Records a heartbeat as sent now if one is due, and reports whether it was due.
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

    /// Records an answer. Contact and renewal count from the time at which the heartbeat was sent.
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

    /// Returns the time at which the newest heartbeat with an answer that confirmed contact was sent.
    pub(crate) fn last_contact(&self) -> Option<Duration> {
        self.last_contact
    }

    /// Returns the time at which the newest heartbeat with an answer that renewed the lease was sent.
    pub(crate) fn last_renewal(&self) -> Option<Duration> {
        self.last_renewal
    }

    /// Reports whether the witness has ended contact, which it does for good.
    pub(crate) fn has_refused(&self) -> bool {
        self.has_refused
    }
}
