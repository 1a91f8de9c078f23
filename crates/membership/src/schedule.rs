//! When paced steps are due next.

use std::time::Duration;

use ids::Offset;

use crate::times::PAUSE_THRESHOLD;

/// When paced steps are due next.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// Time since which a witness has been known to have read more of the log.
    pub(crate) behind_since: Option<Duration>,
    /// Time at which operators were last seen to declare something new.
    pub(crate) last_new_declaration: Duration,
    /// Time of the next plan of moves.
    pub(crate) next_move_plan: Duration,
    /// Whether the last plan found nothing to move.
    pub(crate) has_nothing_to_move: bool,
    /// Time of the next pull from a peer.
    pub(crate) next_pull: Duration,
    /// Time of the next replacement of witnesses.
    pub(crate) next_rewitness: Duration,
    /// Time of the next replacement of witnesses that cannot renew.
    pub(crate) next_lost_rewitness: Duration,
    /// Time from which a snapshot has been missing.
    pub(crate) snapshot_missing_since: Option<Duration>,
    /// What the newest snapshot covers, and when that was read.
    pub(crate) newest_snapshot: (Offset, Duration),
    last_tick: Option<Duration>,
}

impl Schedule {
    /// Notes a tick, and tells whether the process was paused before it.
    pub(crate) fn record_tick(&mut self, now: Duration) -> bool {
        let ticked = self.last_tick.replace(now);
        ticked.is_some_and(|ticked| now > ticked + PAUSE_THRESHOLD)
    }
}

/// Returns whether a step is due, and then sets when it is due next.
pub(crate) fn is_due(next: &mut Duration, now: Duration, interval: Duration) -> bool {
    let due = now >= *next;
    if due {
        *next = now + interval;
    }
    due
}
