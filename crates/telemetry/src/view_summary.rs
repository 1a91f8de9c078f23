//! Summary of a process's view of the fleet.

use ids::Offset;
use serde::Deserialize;
use serde::Serialize;

/// Summary of a process's view of the fleet when it took a decision.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewSummary {
    /// Time since the process knew all declarations of operators, in milliseconds, absent before it has read any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declarations_known_ms_ago: Option<u64>,
    /// Whether the process could know which keys are withdrawn.
    pub informed: bool,
    /// Offset of the next log record to read.
    pub log_next: Offset,
    /// Time since the log, or a peer in its place, last answered a read, in milliseconds.
    pub log_read_ms_ago: u64,
    /// Version of the operators' configuration that was in force.
    pub revision: u64,
}
