//! Comparison of a version on trial with the current one.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::VmId;

use crate::RolloutVerdict;
use crate::RouteEvidence;
use crate::RouteSummary;
use crate::UpstreamEvidence;
use crate::VersionGroup;
use crate::bin_evidence::BinEvidence;
use crate::bin_evidence::Increments;
use crate::evidence_sum::EvidenceSum;
use crate::leave_one_out_sums::LeaveOneOutSums;
use crate::route_test::RouteTest;

/// Largest fraction of good versions that may be condemned.
///
/// A sum that starts in a given bin reaches the threshold `t` with a probability of at most `exp(-t)`. The threshold divides
/// the rate by the number of sums and by [`BINS_OF_TRIAL`].
const FALSE_ALARM_RATE: f64 = 1.0 / 200.0;

/// Number of independent starts of a sum in a trial, for the threshold.
///
/// Neighbouring bins share most of their sum, so it is less than the number of bins. In replays of 18,000 drawn good trials,
/// 11 versions were condemned, and at most 3 of 2,000 of one kind. The reserve is for loads that the replays do not cover.
const BINS_OF_TRIAL: f64 = 20.0;

/// Least number of bad answers on which a version is condemned.
const MIN_BAD_ANSWERS: f64 = 12.0;

/// Number of new upstreams from which on the one that adds most to a sum is left out.
const MIN_UPSTREAMS_TO_LEAVE_OUT: usize = 3;

/// Time in the open bin from which on it is judged. Each home reports at least once in this time.
const MIN_OPEN_TIME: Duration = Duration::from_millis(500);

/// Time between two reports of a home from which on their difference doesn't belong to one bin.
const MAX_REPORT_GAP: Duration = Duration::from_secs(2);

/// Time for which a judge must have compared times before it finds a version sound.
///
/// The first report of a home covers a time of which a new decider knows no times to compare.
const MIN_JUDGED_TIME: Duration = Duration::from_secs(3);

/// Number of judged answers that a sound version needs.
const MIN_SOUND_ANSWERS: f64 = 100.0;

/// Number of judged answers that a sound version needs on each route that is not rare.
const MIN_SOUND_ROUTE_ANSWERS: f64 = 20.0;

/// Fraction of the service's answers from which on a route is not rare.
const RARE_ROUTE_FRACTION: f64 = 0.05;

/// Fraction of the threshold below which the sums of a sound version are.
const SOUND_FRACTION: f64 = 0.25;

/// Compares the answers of a version on trial with those of the current version.
///
/// Answers belong to the one-second bin in which their report arrives. An answer is bad if it is a failure or took longer
/// than a multiple of the current version's median in the same bin. A sequential test for each route and one for all of them
/// compare the fraction of bad answers.
#[derive(Clone, Debug, Default)]
pub struct RolloutJudge {
    /// Reason of the verdict that the version is bad.
    bad_reason: Option<String>,
    /// Number of the open bin.
    bin: u64,
    first_record: Option<Duration>,
    reports: BTreeMap<VmId, HomeReports>,
    routes: BTreeMap<String, RouteTest>,
    /// Sums over all routes.
    sums: LeaveOneOutSums,
}

/// Reports of one home.
#[derive(Clone, Debug)]
struct HomeReports {
    first_arrived: Duration,
    /// Last report on each route.
    routes: BTreeMap<String, Report>,
}

#[derive(Clone, Debug)]
struct Report {
    arrived: Duration,
    evidence: RouteEvidence,
}

impl RolloutJudge {
    /// Records the cumulative counts that the home of `vm` reported.
    ///
    /// Routes that are not in `evidence` keep their counts, so that a report may be split. Reports of a home must be recorded
    /// in the order of their sequence, and older ones left out: a smaller count is taken for a restart of the home.
    pub fn record(
        &mut self,
        now: Duration,
        vm: &VmId,
        group: VersionGroup,
        evidence: &UpstreamEvidence,
    ) {
        self.close_bins(now);
        self.first_record.get_or_insert(now);
        if !self.reports.contains_key(vm) {
            let reports = HomeReports {
                first_arrived: now,
                routes: BTreeMap::new(),
            };
            self.reports.insert(vm.clone(), reports);
        }
        let reports = self.reports.get_mut(vm).expect("inserted if absent");
        // The first report of a home covers a time before this bin, and may be split.
        let is_known = now.saturating_sub(reports.first_arrived) > MAX_REPORT_GAP;
        for (name, counts) in &evidence.routes {
            if !self.routes.contains_key(name) {
                self.routes.insert(name.clone(), RouteTest::default());
            }
            let route = self.routes.get_mut(name).expect("inserted if absent");
            let report = Report {
                arrived: now,
                evidence: counts.clone(),
            };
            match reports.routes.get_mut(name) {
                Some(last) => {
                    let is_of_bin = now.saturating_sub(last.arrived) <= MAX_REPORT_GAP;
                    route.record(vm, group, counts.since(&last.evidence), is_of_bin);
                    *last = report;
                }
                None => {
                    route.record(vm, group, counts.clone(), is_known);
                    reports.routes.insert(name.clone(), report);
                }
            }
        }
    }

    /// Returns the verdict on the evidence recorded up to `now`.
    pub fn verdict(&mut self, now: Duration) -> RolloutVerdict {
        self.close_bins(now);
        if self.bad_reason.is_none() && now >= Duration::from_secs(self.bin) + MIN_OPEN_TIME {
            let evidence = self.evidence(RouteTest::has_open_reference);
            self.bad_reason = self.find_bad(&evidence);
        }
        match &self.bad_reason {
            Some(reason) => RolloutVerdict::Bad {
                reason: reason.clone(),
            },
            None if self.is_sound(now) => RolloutVerdict::Sound,
            None => RolloutVerdict::Undecided,
        }
    }

    /// Returns the evidence by route, in the order of their names.
    pub fn summaries(&self) -> Vec<RouteSummary> {
        let threshold = self.threshold();
        let leaves_one_out = self.leaves_one_out(&Increments::new());
        let summarise = |(name, route): (&String, &RouteTest)| RouteSummary {
            route: name.clone(),
            current_answers: route.current.answers,
            current_failures: route.current.failures,
            trial_answers: route.trial.answers,
            trial_failures: route.trial.failures,
            judged_answers: route.judged.answers as u64,
            bad_answers: route.judged.bad,
            sum: route.sums.after(&Increments::new(), leaves_one_out).value,
            threshold,
        };
        self.routes.iter().map(summarise).collect()
    }

    /// Closes the open bin if it is over.
    fn close_bins(&mut self, now: Duration) {
        let bin = now.as_secs();
        if bin <= self.bin {
            return;
        }
        let evidence = self.evidence(|_| true);
        if self.bad_reason.is_none() {
            self.bad_reason = self.find_bad(&evidence);
        }
        let total = total(&evidence);
        let threshold = self.threshold();
        let leaves_one_out = self.leaves_one_out(&total.by_failures);
        self.sums.add(&total.increments(threshold, leaves_one_out));
        for (route, evidence) in self.routes.values_mut().zip(&evidence) {
            route.close(&evidence.increments(threshold, leaves_one_out));
        }
        self.bin = bin;
    }

    /// Returns the evidence of the open bin for each route, in the order of their names. It is empty for routes that are not
    /// included.
    fn evidence(&self, is_included: impl Fn(&RouteTest) -> bool) -> Vec<BinEvidence> {
        let evidence = |route: &RouteTest| {
            if is_included(route) {
                route.evidence()
            } else {
                BinEvidence::default()
            }
        };
        self.routes.values().map(evidence).collect()
    }

    /// Returns the reason to condemn the version with the given evidence of the open bin for each route.
    fn find_bad(&self, evidence: &[BinEvidence]) -> Option<String> {
        let total = total(evidence);
        let threshold = self.threshold();
        let leaves_one_out = self.leaves_one_out(&total.by_failures);
        let is_bad = |sum: &EvidenceSum| sum.value >= threshold && sum.bad >= MIN_BAD_ANSWERS;
        let by_route = self.routes.iter().zip(evidence);
        let by_route = by_route.map(|((name, route), evidence)| {
            let increments = evidence.increments(threshold, leaves_one_out);
            let sum = route.sums.after(&increments, leaves_one_out);
            (format!("route {name}"), sum)
        });
        let increments = total.increments(threshold, leaves_one_out);
        let all = self.sums.after(&increments, leaves_one_out);
        let mut sums = by_route.chain([("all routes".to_owned(), all)]);
        let (place, sum) = sums.find(|(_, sum)| is_bad(sum))?;
        let EvidenceSum { answers, bad, .. } = sum;
        Some(format!(
            "{place}: {bad:.0} of {answers:.0} answers failed or were much slower than those of the current version"
        ))
    }

    fn is_sound(&self, now: Duration) -> bool {
        let first_record = self.first_record.unwrap_or(now);
        if now < first_record + MIN_JUDGED_TIME {
            return false;
        }
        let routes = self.routes.values();
        let judged: f64 = routes.clone().map(|route| route.judged.answers).sum();
        if judged < MIN_SOUND_ANSWERS {
            return false;
        }
        let count = |route: &RouteTest| (route.current.answers + route.trial.answers) as f64;
        let rare: f64 = routes.clone().map(count).sum::<f64>() * RARE_ROUTE_FRACTION;
        let limit = self.threshold() * SOUND_FRACTION;
        let none = Increments::new();
        let leaves_one_out = self.leaves_one_out(&none);
        let is_sound = |route: &RouteTest| {
            let is_known = count(route) < rare || route.judged.answers >= MIN_SOUND_ROUTE_ANSWERS;
            is_known && route.sums.after(&none, leaves_one_out).value < limit
        };
        self.sums.after(&none, leaves_one_out).value < limit && routes.clone().all(is_sound)
    }

    fn leaves_one_out(&self, increments: &Increments) -> bool {
        self.sums.upstream_count(increments) >= MIN_UPSTREAMS_TO_LEAVE_OUT
    }

    fn threshold(&self) -> f64 {
        let sums = self.routes.len() as f64 + 1.0;
        (sums * BINS_OF_TRIAL / FALSE_ALARM_RATE).ln()
    }
}

/// Returns the evidence of all routes together.
fn total(evidence: &[BinEvidence]) -> BinEvidence {
    let mut total = BinEvidence::default();
    for route in evidence {
        total.add(route);
    }
    total
}
