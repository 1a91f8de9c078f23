//! What a decider of a roll-out sees.

use std::time::Duration;

use crate::OldMember;
use crate::RolloutPhase;
use crate::RolloutVerdict;

/// What a decider of a roll-out sees at one moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutView {
    /// Whether the service has keys.
    pub has_keys: bool,
    /// Whether any upstream of the target version is a member.
    pub has_trial_upstream: bool,
    /// Members with versions other than the target.
    pub old_members: Vec<OldMember>,
    /// Phase that the log states.
    pub phase: RolloutPhase,
    /// Time since the order.
    pub since_order: Duration,
    /// Verdict of the judge.
    pub verdict: RolloutVerdict,
}
