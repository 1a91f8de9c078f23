//! The state of an agent, for operators.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::Incarnation;
use ids::Offset;
use serde::Deserialize;
use serde::Serialize;

use crate::Phase;

/// The state of an agent, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Number of records that have been appended and not read back yet.
    pub appends_pending: usize,
    /// Incarnation of the member, if the process is one.
    pub incarnation: Option<Incarnation>,
    /// Whether the process has recent enough contact with the log or its witnesses to know which API
    /// keys are withdrawn.
    pub is_informed: bool,
    /// Time until the lease ends.
    pub lease_left: Option<Duration>,
    /// Whether the log answers, and all of it has been read.
    pub log_healthy: bool,
    /// Offset of the next record to read.
    pub next: Offset,
    /// Phase of the member.
    pub phase: Phase,
    /// Number of members that this process suspects as a witness.
    pub suspected: usize,
    /// Number of units in each state.
    pub units: BTreeMap<String, usize>,
    /// Instance identifier of the accepted upstream.
    pub upstream_instance: Option<String>,
    /// Number of members that this process watches as a witness and does not suspect.
    pub watched: usize,
    /// Number of witnesses of this member.
    pub witnesses: usize,
}
