//! Decisions on the steps of a roll-out.

use std::time::Duration;

use crate::OldMember;
use crate::RolloutDecision;
use crate::RolloutPhase;
use crate::RolloutSchedule;
use crate::RolloutVerdict;
use crate::RolloutView;
use crate::rollout_schedule::OLD_REFUSAL_DELAY;

/// Age of the last report from which on an old member counts as lost.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Time that the log takes at most to bring `Promoted` to the old homes, in the usual case.
///
/// Old homes refuse from [`OLD_REFUSAL_DELAY`] after they read the record. An idle home that still accepts requests must not
/// be taken for a finished one.
const READ_MARGIN: Duration = Duration::from_millis(250);

/// Decides the next step of one roll-out.
///
/// It decides on what one process sees. The log may hold another outcome, which takes precedence.
#[derive(Clone, Debug)]
pub struct RolloutDecider {
    rollback_reason: Option<String>,
    schedule: RolloutSchedule,
}

impl RolloutDecider {
    /// Creates the decider of a roll-out.
    pub fn new(schedule: RolloutSchedule) -> Self {
        Self {
            rollback_reason: None,
            schedule,
        }
    }

    /// Returns the next step. A rollback is final.
    pub fn decide(&mut self, view: &RolloutView) -> RolloutDecision {
        if let Some(reason) = &self.rollback_reason {
            return RolloutDecision::RollBack {
                reason: reason.clone(),
            };
        }
        let decision = self.decide_next(view);
        if let RolloutDecision::RollBack { reason } = &decision {
            self.rollback_reason = Some(reason.clone());
        }
        decision
    }

    fn decide_next(&self, view: &RolloutView) -> RolloutDecision {
        if let RolloutVerdict::Bad { reason } = &view.verdict {
            return RolloutDecision::RollBack {
                reason: reason.clone(),
            };
        }
        match view.phase {
            RolloutPhase::Trial => self.decide_trial(view),
            RolloutPhase::Promoting { since_promoted } => {
                self.decide_promoting(view, since_promoted)
            }
        }
    }

    fn decide_trial(&self, view: &RolloutView) -> RolloutDecision {
        let closing = self.schedule.closing_start();
        let is_sound = view.verdict == RolloutVerdict::Sound;
        if view.since_order >= closing {
            return roll_back(match (view.has_trial_upstream, is_sound) {
                (false, _) => "no upstream has the target version",
                (true, false) => "not enough evidence at the end of the duration",
                (true, true) => "not promoted before the end of the duration",
            });
        }
        let start = self.schedule.promotion_start();
        if is_sound
            && view.has_trial_upstream
            && (start..=self.schedule.last_promotion()).contains(&view.since_order)
        {
            return RolloutDecision::Promote;
        }
        RolloutDecision::Continue
    }

    fn decide_promoting(&self, view: &RolloutView, since_promoted: Duration) -> RolloutDecision {
        if !view.has_trial_upstream {
            return roll_back("all upstreams of the target version were lost");
        }
        if view.since_order >= self.schedule.duration() {
            return roll_back("not completed before the end of the duration");
        }
        let is_closing = view.since_order >= self.schedule.closing_start();
        if view.old_members.iter().any(|member| member.owns_units) {
            return if is_closing {
                roll_back("an upstream of another version still owns units")
            } else {
                RolloutDecision::Continue
            };
        }
        let refusal_start = if view.has_keys {
            Duration::ZERO
        } else {
            OLD_REFUSAL_DELAY + READ_MARGIN
        };
        let is_done = |member: &OldMember| {
            let is_lost = member.report_age > MAX_REPORT_AGE;
            is_lost || (member.is_idle && member.report_age + refusal_start <= since_promoted)
        };
        if is_closing || view.old_members.iter().all(is_done) {
            RolloutDecision::Complete
        } else {
            RolloutDecision::Continue
        }
    }
}

fn roll_back(reason: &str) -> RolloutDecision {
    RolloutDecision::RollBack {
        reason: reason.to_owned(),
    }
}
