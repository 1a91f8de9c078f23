//! What an upstream did with one request.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;

use ids::Fence;
use ids::RequestId;
use ids::Unit;
use ids::VmId;
use ids::WorkspaceId;
use ids::ZoneId;
use serde::Deserialize;
use serde::Serialize;

use crate::MonotonicUs;

/// A request that reached an upstream. The record is written at the start and, with the same serial, at the end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Execution {
    /// Requests that the upstream bore at the start.
    #[serde(rename = "bears")]
    pub capacity: u32,
    /// BLAKE3 hash of the body, as hexadecimal text.
    pub body_hash: String,
    /// Whether the upstream was draining at the start.
    pub draining: bool,
    /// End, absent while the request runs.
    pub end_us: Option<MonotonicUs>,
    /// Fence of the grant.
    pub fence: Option<Fence>,
    /// Life of the upstream.
    pub instance: String,
    /// The key.
    pub key: Option<String>,
    /// What became of the request.
    pub outcome: ExecutionOutcome,
    /// Id of the request.
    pub request_id: RequestId,
    /// Requests that ran at the start, with this one.
    pub running: u32,
    /// Number of the request within the life of the upstream.
    pub serial: u64,
    /// Start.
    pub start_us: MonotonicUs,
    /// Unit of the grant.
    pub unit: Option<Unit>,
    /// VM of the upstream.
    pub vm: VmId,
    /// The workspace.
    pub workspace: Option<WorkspaceId>,
    /// Availability zone of the upstream.
    pub zone: ZoneId,
}

/// What became of a request that reached an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionOutcome {
    /// It was stopped by a cancellation.
    Cancelled,
    /// It ended the process of the upstream.
    Crashed,
    /// It was stopped at its deadline.
    DeadlineExceeded,
    /// It was stopped at the end of its grant.
    GrantExpired,
    /// It was not started, for want of a grant.
    NotGranted,
    /// It ran to its end.
    Ran,
    /// It runs, or its upstream was killed.
    Running,
    /// It was not started, for want of a slot.
    Shed,
}

impl Execution {
    /// Tells whether the request was started.
    pub fn was_started(&self) -> bool {
        !matches!(
            self.outcome,
            ExecutionOutcome::NotGranted | ExecutionOutcome::Shed
        )
    }
}

/// Reads a file of executions. One that is written at its start and its end is returned as at its end.
///
/// # Errors
///
/// Returns the error of the system, or the first line before the last that is not an execution.
pub fn read_executions(path: &Path) -> io::Result<Vec<Execution>> {
    let text = fs::read_to_string(path)?;
    let mut executions = BTreeMap::new();
    // A line without its end is still being written.
    for line in text
        .split_inclusive('\n')
        .filter(|line| line.ends_with('\n'))
    {
        let execution = serde_json::from_str::<Execution>(line)?;
        executions.insert((execution.instance.clone(), execution.serial), execution);
    }
    Ok(executions.into_values().collect())
}
