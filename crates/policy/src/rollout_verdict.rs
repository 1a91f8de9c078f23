//! Verdict on a version on trial.

/// What the evidence says about a version on trial.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutVerdict {
    /// The evidence is not sufficient for either verdict.
    Undecided,
    /// The version is worse than the current one. This verdict is final.
    Bad {
        /// Where and by how much it is worse.
        reason: String,
    },
    /// Enough answers are judged, and nothing indicates that the version is worse.
    Sound,
}
