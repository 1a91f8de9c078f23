//! Grants for the local upstream.

use std::time::Duration;

use config::KeyRange;
use ids::Fence;

/// All grants of the local upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamGrants {
    /// Time for which the upstream holds the ranges, counted from when it sent its check-in.
    pub hold_duration: Duration,
    /// Granted ranges, in order.
    pub ranges: Vec<RangeGrant>,
}

/// Contiguous range of keys granted to an upstream under one fence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RangeGrant {
    /// Fence of the keys' owner, which orders successive owners.
    pub fence: Fence,
    /// Data that the previous owner's upstream handed over, empty if none.
    pub handover: String,
    /// Granted keys.
    pub range: KeyRange,
}
