//! Turns of members to write the status of a roll-out.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::Rollout;
use cluster::RolloutState;
use ids::Offset;
use ids::ServiceId;

use crate::rollout::StatusJob;
use crate::rollout::status_document::StatusDocument;

/// Time after which the next member writes a status that the one before it should have written.
pub(crate) const TURN_DELAY: Duration = Duration::from_millis(300);

/// Time after which a status that was written is written again if the log does not state so.
const RECORD_TIMEOUT: Duration = Duration::from_secs(3);

/// Statuses that the log does not state as written, and when this process writes them.
#[derive(Debug, Default)]
pub(crate) struct StatusTurns(BTreeMap<ServiceId, Turn>);

#[derive(Debug)]
struct Turn {
    position: Offset,
    /// Time of the next write, `None` while one is under way.
    next_write: Option<Duration>,
    state: RolloutState,
}

impl StatusTurns {
    /// Returns the status of a roll-out if this process is to write it now. `rank` is the rank of this process among the
    /// members.
    pub(crate) fn next(
        &mut self,
        now: Duration,
        service: &ServiceId,
        rollout: &Rollout,
        rank: usize,
    ) -> Option<StatusJob> {
        if is_published(rollout) {
            self.0.remove(service);
            return None;
        }
        let (position, state) = (rollout.order.position, rollout.state);
        let known = self.0.get(service);
        if known.is_none_or(|turn| turn.position != position || turn.state != state) {
            let rank = u32::try_from(rank).unwrap_or(u32::MAX);
            let turn = Turn {
                position,
                next_write: Some(now + TURN_DELAY.saturating_mul(rank)),
                state,
            };
            self.0.insert(service.clone(), turn);
        }
        let turn = self.0.get_mut(service)?;
        if turn.next_write.is_none_or(|at| now < at) {
            return None;
        }
        turn.next_write = None;
        Some(StatusJob {
            document: StatusDocument::new(rollout),
            position,
            service: service.clone(),
            state,
        })
    }

    /// Records whether a status was written. One that was not, or that the log does not state in time, is written again.
    pub(crate) fn record_result(&mut self, now: Duration, job: &StatusJob, is_written: bool) {
        let turn = self.0.get_mut(&job.service);
        let turn = turn.filter(|turn| turn.position == job.position && turn.state == job.state);
        if let Some(turn) = turn {
            let delay = if is_written {
                RECORD_TIMEOUT
            } else {
                TURN_DELAY
            };
            turn.next_write = Some(now + delay);
        }
    }
}

/// Reports whether the status of a roll-out has been written. It is the same during the trial and the promotion.
pub(crate) fn is_published(rollout: &Rollout) -> bool {
    match (rollout.published, rollout.state) {
        (Some(RolloutState::Trial), RolloutState::Promoting) => true,
        (published, state) => published == Some(state),
    }
}
