//! Schedule of a roll-out.

use std::time::Duration;

/// Shares of the trial, and the fraction of the duration from which on each applies.
const TRIAL_STEPS: [(f64, f64); 3] = [(0.0, 0.02), (0.25, 0.05), (0.45, 0.08)];

/// Part of the largest share that the schedule uses. The rest is kept for requests of restarted entries.
const USED_PART: f64 = 0.8;

/// Least time from promotion to the end, unless it is more than [`MAX_PROMOTION_PART`] of the duration.
const MIN_PROMOTION: Duration = Duration::from_secs(4);

/// Part of the duration that promotion takes where that is longer than [`MIN_PROMOTION`].
const PROMOTION_PART: f64 = 0.3;

/// Largest part of the duration that promotion takes.
const MAX_PROMOTION_PART: f64 = 0.6;

/// Shares of the target version in keyless services while promoting, and the time since `Promoted` until which each applies.
const PROMOTION_STEPS: [(Duration, f64); 2] = [
    (Duration::from_millis(700), 0.25),
    (Duration::from_millis(1_400), 0.5),
];

/// Time after `Promoted` from which on old homes of keyless services refuse requests as not run.
pub(crate) const OLD_REFUSAL_DELAY: Duration = Duration::from_millis(1_500);

/// Time before the end at which the outcome is appended at the latest, so that the status is written within the duration.
const CLOSING_TIME: Duration = Duration::from_millis(700);

/// Least time from `Promoted` to the closing, in which entries move to the target version and old homes report.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// Least time in which promotion may begin, where the duration is too short for [`HANDOVER_TIME`].
const MIN_PROMOTION_WINDOW: Duration = Duration::from_millis(500);

/// Shares and times of a roll-out, by the time since its order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSchedule {
    duration: Duration,
    max_share: f64,
}

impl RolloutSchedule {
    /// Creates the schedule of a roll-out that takes `duration` and gives its trial at most the fraction `max_share` of the
    /// requests.
    pub fn new(duration: Duration, max_share: f64) -> Self {
        Self {
            duration,
            max_share,
        }
    }

    /// Returns the time limit of the roll-out, as a time since its order.
    pub fn duration(&self) -> Duration {
        self.duration
    }

    /// Returns the fraction of the requests that the trial gets.
    pub fn trial_share(&self, since_order: Duration) -> f64 {
        let has_begun = |(part, _): &&(f64, f64)| {
            since_order.as_secs_f64() >= self.duration.as_secs_f64() * part
        };
        let step = TRIAL_STEPS.iter().rev().find(has_begun);
        let share = step.map_or(0.0, |(_, share)| *share);
        share.min(self.max_share * USED_PART)
    }

    /// Returns the time since the order at which promotion begins at the earliest.
    pub fn promotion_start(&self) -> Duration {
        let wanted = MIN_PROMOTION.max(self.duration.mul_f64(PROMOTION_PART));
        self.duration - wanted.min(self.duration.mul_f64(MAX_PROMOTION_PART))
    }

    /// Returns the time since the order at which promotion begins at the latest.
    ///
    /// A later one would be completed while old homes still serve a part of the requests.
    pub(crate) fn last_promotion(&self) -> Duration {
        let last = self.closing_start().saturating_sub(HANDOVER_TIME);
        last.max(self.promotion_start() + MIN_PROMOTION_WINDOW)
    }

    /// Returns the time since the order at which the outcome is appended at the latest.
    pub fn closing_start(&self) -> Duration {
        self.duration.saturating_sub(CLOSING_TIME)
    }

    /// Returns the fraction of the requests of a service without keys that entries send to the target version while it is
    /// promoted.
    pub fn promoting_share(&self, since_promoted: Duration) -> f64 {
        let step = PROMOTION_STEPS
            .iter()
            .find(|(until, _)| since_promoted < *until);
        step.map_or(1.0, |(_, share)| *share)
    }

    /// Reports whether old homes of a service without keys refuse requests.
    pub fn old_homes_refuse(&self, since_promoted: Duration) -> bool {
        since_promoted >= OLD_REFUSAL_DELAY
    }
}
