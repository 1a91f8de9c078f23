//! Times at which periodic steps of the agent are due.

use std::time::Duration;

use ids::Offset;

use crate::times::PAUSE_THRESHOLD;

/// Times at which periodic steps of the agent are due, and times that these depend on.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// Time since which a witness has been known to have read further in the log than this member.
    pub(crate) behind_since: Option<Duration>,
    /// Time by which operators have repeated the declarations that were lost with a restore of the log.
    pub(crate) declarations_settled_at: Duration,
    /// Whether the last plan contained no moves.
    pub(crate) has_nothing_to_move: bool,
    /// Time of the last plan of moves.
    pub(crate) last_move_plan: Option<Duration>,
    last_tick: Option<Duration>,
    /// Time at which the number of members last changed.
    pub(crate) members_changed_at: Duration,
    /// Offset that the newest snapshot covers, and the time at which that was read.
    pub(crate) newest_snapshot: (Offset, Duration),
    /// Time of the next replacement of witnesses that cannot renew.
    pub(crate) next_lost_rewitness: Duration,
    /// Time of the next pull from a peer.
    pub(crate) next_pull: Duration,
    /// Time of the next plan of the moves of units on trial.
    pub(crate) next_trial_plan: Duration,
    /// Time of the next replacement of witnesses.
    pub(crate) next_rewitness: Duration,
    /// Time since which the log has lacked declarations of operators, and the version of the configuration that it holds.
    pub(crate) unpublished_since: Option<(Duration, Offset)>,
    /// Time since which a new snapshot has been due.
    pub(crate) snapshot_missing_since: Option<Duration>,
}

impl Schedule {
    /// Records a tick, and reports whether the process was paused before it.
    pub(crate) fn record_tick(&mut self, now: Duration) -> bool {
        let last_tick = self.last_tick.replace(now);
        last_tick.is_some_and(|last_tick| now > last_tick + PAUSE_THRESHOLD)
    }
}

/// Reports whether a step is due at `now`, and if so, schedules the next one after `interval`.
pub(crate) fn is_due(next: &mut Duration, now: Duration, interval: Duration) -> bool {
    let due = now >= *next;
    if due {
        *next = now + interval;
    }
    due
}
