//! Recent answers of the current version on one route.

use std::collections::VecDeque;

use crate::LatencyHistogram;
use crate::RouteEvidence;

/// Number of answers of the current version from which on its times and its bad fraction are used.
///
/// With fewer, the median of times deviates by more than a tenth.
pub(crate) const MIN_REFERENCE_ANSWERS: u64 = 30;

/// Number of present answers of the current version, as a multiple of those on trial, below which the reference is weak.
///
/// Entries shift traffic to the target version while they promote it, so the answers of both versions in one bin may lie at
/// different times in it. A load that begins within the bin then affects one version only.
const STRONG_FACTOR: u64 = 2;

/// Factor of the current version's median from which on an answer is bad.
const SLOW_FACTOR: f64 = 2.5;

/// Fraction of answers that are fast even on a version of which a part of the answers is slow.
const FAST_FRACTION: f64 = 0.2;

/// Weight of a bin in the long-term bad fraction, relative to the next one.
const DECAY: f64 = 0.9;

/// What is expected of answers in one bin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expectation {
    /// Fraction of answers that is bad on the current version.
    pub(crate) bad_fraction: f64,
    /// Whether slow answers may come from a load that the current version does not have at that moment.
    pub(crate) is_weak: bool,
    /// Time in milliseconds from which on an answer is bad.
    pub(crate) limit_ms: f64,
}

/// Recent answers of the current version on one route.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionReference {
    /// Bins that have answers, the latest last.
    bins: VecDeque<RouteEvidence>,
    long_answers: f64,
    long_bad: f64,
}

impl VersionReference {
    /// Returns what is expected of answers in the open bin, in which the current version has the answers `open` so far and
    /// the version on trial those of `trial`. Returns `None` without enough answers of the current version.
    pub(crate) fn expect(
        &self,
        open: &RouteEvidence,
        trial: &RouteEvidence,
    ) -> Option<Expectation> {
        let mut window = open.clone();
        for earlier in self.bins.iter().rev() {
            if window.answers >= MIN_REFERENCE_ANSWERS {
                break;
            }
            window.add(earlier);
        }
        if window.answers < MIN_REFERENCE_ANSWERS {
            return None;
        }
        // A late report may hold answers of the previous bin, whose load may have been higher.
        let is_known = |bin: &&RouteEvidence| bin.answers >= MIN_REFERENCE_ANSWERS;
        let previous = self.bins.back().filter(is_known).map_or(0.0, slow_limit);
        let mut limit_ms = slow_limit(&window).max(previous);
        let answers = window.answers as f64;
        let present = count_bad(&window, limit_ms) / answers;
        let long = self.long_bad / self.long_answers.max(1.0);
        let deviation =
            |fraction: f64, answers: f64| (fraction * (1.0 - fraction) / answers).sqrt();
        let long_answers = self.long_answers.max(answers);
        // Present answers count on their own where they deviate: a load that has just begun differs from the usual one.
        let present = present - deviation(present, answers);
        let fraction = present.max(long + deviation(long, long_answers));
        let is_weak = open.answers < trial.answers * STRONG_FACTOR;
        if is_weak {
            limit_ms *= load_ratio(&trial.latencies, &window.latencies).max(1.0);
        }
        Some(Expectation {
            bad_fraction: fraction,
            is_weak,
            limit_ms,
        })
    }

    /// Adds the answers of the open bin, which is over.
    pub(crate) fn close(&mut self, evidence: RouteEvidence) {
        if evidence.answers == 0 {
            return;
        }
        self.long_answers = self.long_answers * DECAY + evidence.answers as f64;
        self.long_bad = self.long_bad * DECAY + count_bad(&evidence, slow_limit(&evidence));
        self.bins.push_back(evidence);
        let mut kept: u64 = self.bins.iter().map(|bin| bin.answers).sum();
        while let Some(first) = self.bins.front()
            && kept - first.answers >= MIN_REFERENCE_ANSWERS
        {
            kept -= first.answers;
            self.bins.pop_front();
        }
    }
}

/// Returns how many answers failed or took longer than `limit_ms`.
fn count_bad(evidence: &RouteEvidence, limit_ms: f64) -> f64 {
    evidence.failures as f64 + evidence.latencies.count_above(limit_ms)
}

/// Returns the factor by which the fast answers of `trial` are slower than those of `current`.
///
/// A load slows all answers, but a fault only a part of them.
fn load_ratio(trial: &LatencyHistogram, current: &LatencyHistogram) -> f64 {
    let times = [trial, current].map(|latencies| latencies.quantile_ms(FAST_FRACTION));
    match times {
        [Some(trial), Some(current)] => trial / current,
        _ => 1.0,
    }
}

/// Returns the time in milliseconds from which on an answer is slow among those of `evidence`.
fn slow_limit(evidence: &RouteEvidence) -> f64 {
    let median = evidence.latencies.quantile_ms(0.5);
    median.map_or(f64::INFINITY, |median| median * SLOW_FACTOR)
}
