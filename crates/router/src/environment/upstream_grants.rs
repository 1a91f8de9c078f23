//! What the local upstream is to hold.

use std::time::Duration;

use config::KeyRange;
use ids::Fence;

/// All that the local upstream is to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamGrants {
    /// Time for which it holds them, counted from the sending of its report.
    pub hold: Duration,
    /// The ranges, in order.
    pub ranges: Vec<RangeGrant>,
}

/// Neighbouring keys that an upstream is to hold under one fence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RangeGrant {
    /// Number that orders the owners of the keys.
    pub fence: Fence,
    /// What the last owner's upstream gave on, empty if nothing.
    pub handover: String,
    /// The keys.
    pub range: KeyRange,
}
