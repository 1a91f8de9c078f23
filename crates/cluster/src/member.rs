//! Member of the fleet.

use std::collections::BTreeSet;

use ids::Incarnation;
use ids::Offset;
use ids::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::Join;

/// Member that has joined and has not ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Offset of the member's `Join` record.
    pub incarnation: Incarnation,
    /// Description that the member joined with.
    pub join: Join,
    /// Members that renew the lease of this one.
    pub witnesses: BTreeSet<VmId>,
    /// Offset of the record that named the current witnesses.
    pub witnesses_since: Offset,
}
