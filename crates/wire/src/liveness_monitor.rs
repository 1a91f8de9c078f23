//! Detection of silent peers and idle links.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::handshake::Side;
use crate::link_state::LinkState;

/// Number of checks within the idle timeout of an unused link.
const IDLE_CHECKS: u32 = 4;

/// Detects a peer that sends no frames while a call waits, and a link that is idle.
///
/// No pings are sent while all calls are answered within the ping interval.
pub(crate) struct LivenessMonitor {
    last_check: Instant,
    resumed_at: Instant,
    state: Arc<LinkState>,
}

/// Action to take after a check of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LivenessAction {
    Close,
    Wait,
    Ping,
}

impl LivenessMonitor {
    pub(crate) fn new(state: &Arc<LinkState>) -> Self {
        let now = Instant::now();
        Self {
            last_check: now,
            resumed_at: now,
            state: state.clone(),
        }
    }

    /// Returns the time of the next check. Checks are frequent only while a call waits.
    pub(crate) fn next_check(&self) -> Instant {
        let settings = &self.state.settings;
        match self.state.pending_calls().waiting_since() {
            Some(_) => self.last_check + settings.ping_interval,
            None => self.last_check + settings.idle_timeout / IDLE_CHECKS,
        }
    }

    /// Checks the link, and returns the action to take.
    pub(crate) fn check(&mut self) -> LivenessAction {
        let now = Instant::now();
        let settings = &self.state.settings;
        if now > self.next_check() + settings.ping_interval {
            // This process was paused, and the frames that arrived in the meantime are still unread.
            self.resumed_at = now;
        }
        self.last_check = now;
        let last_received = self.state.last_received.time().max(self.resumed_at);
        let oldest_call = self.state.pending_calls().waiting_since();
        let silent_for = |since: Instant| now.saturating_duration_since(since.max(last_received));
        match oldest_call.map(silent_for) {
            Some(duration) if duration >= settings.silence_timeout => LivenessAction::Close,
            Some(duration) if duration >= settings.ping_interval => LivenessAction::Ping,
            Some(_) => LivenessAction::Wait,
            None if silent_for(last_received) >= self.idle_timeout() => LivenessAction::Close,
            None => LivenessAction::Wait,
        }
    }

    /// Returns the idle timeout of this end. It is twice as long on the accepting end, so that the
    /// connecting end, which makes most calls, is the one that closes the link.
    fn idle_timeout(&self) -> Duration {
        let idle_timeout = self.state.settings.idle_timeout;
        match self.state.side {
            Side::Accept => idle_timeout * 2,
            Side::Connect => idle_timeout,
        }
    }
}
