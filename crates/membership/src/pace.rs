//! When paced steps are due next.

use std::time::Duration;

use ids::Offset;

use crate::times::PAUSE;

/// When paced steps are due next.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    /// Time since which a witness has been known to have read more of the log.
    pub(crate) behind: Option<Duration>,
    /// Time at which operators were last seen to declare something new.
    pub(crate) declared: Duration,
    /// Time of the next plan of moves.
    pub(crate) moves: Duration,
    /// Whether the last plan found nothing to move.
    pub(crate) nothing_to_move: bool,
    /// Time of the next pull from a peer.
    pub(crate) pull: Duration,
    /// Time of the next replacement of witnesses.
    pub(crate) rewitness: Duration,
    /// Time of the next replacement of witnesses that cannot renew.
    pub(crate) rewitness_lost: Duration,
    /// Time from which a snapshot has been missing.
    pub(crate) snapshot_missing: Option<Duration>,
    /// What the newest snapshot covers, and when that was read.
    pub(crate) snapshot_read: (Offset, Duration),
    ticked: Option<Duration>,
}

impl Pace {
    /// Notes a tick, and tells whether the process was paused before it.
    pub(crate) fn tick(&mut self, now: Duration) -> bool {
        let ticked = self.ticked.replace(now);
        ticked.is_some_and(|ticked| now > ticked + PAUSE)
    }
}

/// Returns whether a step is due, and then sets when it is due next.
pub(crate) fn is_due(next: &mut Duration, now: Duration, pause: Duration) -> bool {
    let due = now >= *next;
    if due {
        *next = now + pause;
    }
    due
}
