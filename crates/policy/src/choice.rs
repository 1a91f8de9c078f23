//! Choice of the upstream that a request is dispatched to.

use ids::VmId;
use serde::Serialize;

/// Reason for which an upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceReason {
    /// It had the better score of two, or one that was close to the better.
    Better,
    /// It was the only candidate.
    Only,
    /// It is ejected, and the request probes whether it has recovered.
    Probe,
    /// It was next in round-robin order.
    Turn,
}

/// Choice of the upstream that a request is dispatched to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// Reason for which the upstream was chosen.
    pub reason: ChoiceReason,
    /// VM of the upstream.
    pub vm: VmId,
}
