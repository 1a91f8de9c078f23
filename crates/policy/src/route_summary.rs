//! Evidence about one route, for the status.

/// Evidence about one route over all upstreams, for the status.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSummary {
    /// Name of the route.
    pub route: String,
    /// Answers of the current version.
    pub current_answers: u64,
    /// Failures among the answers of the current version.
    pub current_failures: u64,
    /// Answers of the version on trial.
    pub trial_answers: u64,
    /// Failures among the answers of the version on trial.
    pub trial_failures: u64,
    /// Answers of the version on trial that were compared with the current version.
    pub judged_answers: u64,
    /// Bad answers among the judged ones. A fraction, since buckets of times are interpolated.
    pub bad_answers: f64,
    /// Cumulative sum of the test, without the upstream that adds most where one is left out.
    pub sum: f64,
    /// Sum from which on the version is condemned.
    pub threshold: f64,
}
