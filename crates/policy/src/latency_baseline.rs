//! Detection of latency jumps of an upstream.

use std::time::Duration;

/// Number of answers that the mean latency needs before an answer can count as slow.
const MIN_ANSWERS: u32 = 16;

/// Number of consecutive slow answers that make a jump.
const JUMP_ANSWERS: u32 = 8;

/// Time for which all answers must be slow to make a jump.
const JUMP_TIME: Duration = Duration::from_millis(100);

/// Multiple of the mean latency up to which no answer is slow.
const JUMP_RATIO: u32 = 3;

/// Number of mean deviations above the mean latency up to which no answer is slow.
const JUMP_DEVIATIONS: u32 = 4;

/// Smallest excess over the mean latency that can make an answer slow.
const MIN_JUMP: Duration = Duration::from_millis(25);

/// Weight of one answer in the averages: one in this many.
const AVERAGING_ANSWERS: u32 = 32;

/// Moving average of the latency of an upstream, which detects jumps above it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyBaseline {
    answers: u32,
    deviation: Duration,
    /// Number of consecutive slow answers, and the time of the first.
    slow: Option<(u32, Duration)>,
    mean: Duration,
}

impl LatencyBaseline {
    /// Records the latency of an answer, and returns whether latency has jumped.
    ///
    /// Slow answers enter the averages only once a normal one follows, so that a jump cannot raise the mean before it
    /// is detected.
    pub(crate) fn observe(&mut self, now: Duration, latency: Duration) -> bool {
        let slow_threshold = self.slow_threshold();
        let (slow_answers, since) = self.slow.unwrap_or((0, now));
        if slow_threshold.is_some_and(|threshold| latency > threshold) {
            let slow_answers = slow_answers.saturating_add(1);
            self.slow = Some((slow_answers, since));
            let has_lasted = now.saturating_sub(since) >= JUMP_TIME;
            let has_jumped = slow_answers >= JUMP_ANSWERS && has_lasted;
            if has_jumped {
                *self = Self::default();
            }
            return has_jumped;
        }
        self.slow = None;
        for _ in 0..slow_answers.min(AVERAGING_ANSWERS) {
            self.update_averages(slow_threshold.unwrap_or(latency));
        }
        self.update_averages(latency);
        false
    }

    fn update_averages(&mut self, latency: Duration) {
        self.answers = self.answers.saturating_add(1);
        let weight = self.answers.min(AVERAGING_ANSWERS);
        let deviation = self.mean.abs_diff(latency);
        self.deviation = (self.deviation * (weight - 1) + deviation) / weight;
        self.mean = (self.mean * (weight - 1) + latency) / weight;
    }

    /// Returns the latency above which an answer is slow, or `None` until there are enough answers.
    pub(crate) fn slow_threshold(&self) -> Option<Duration> {
        let is_known = self.answers >= MIN_ANSWERS;
        let margin = (self.deviation * JUMP_DEVIATIONS).max(MIN_JUMP);
        is_known.then(|| (self.mean * JUMP_RATIO).max(self.mean + margin))
    }
}
