//! Record of one request at an upstream.

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

/// Record of a request that reached an upstream. It is written at the start of the request and again, with the same
/// serial, at the end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Execution {
    /// Concurrent requests that the upstream could handle at the start.
    #[serde(rename = "bears")]
    pub capacity: u32,
    /// BLAKE3 hash of the body, as hexadecimal text.
    pub body_hash: String,
    /// Whether the upstream was draining at the start.
    pub draining: bool,
    /// Time of the end, absent while the request runs.
    pub end_us: Option<MonotonicUs>,
    /// Fence of the grant.
    pub fence: Option<Fence>,
    /// Incarnation of the upstream.
    pub instance: String,
    /// The key.
    pub key: Option<String>,
    /// Outcome of the request.
    pub outcome: ExecutionOutcome,
    /// Id of the request.
    pub request_id: RequestId,
    /// Requests that ran at the start, including this one.
    pub running: u32,
    /// Serial number of the request within the incarnation of the upstream.
    pub serial: u64,
    /// Time of the start.
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

/// Outcome of a request that reached an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionOutcome {
    /// Stopped by a cancellation.
    Cancelled,
    /// Crashed the process of the upstream.
    Crashed,
    /// Stopped at its deadline.
    DeadlineExceeded,
    /// Stopped when its grant expired.
    GrantExpired,
    /// Not started because the upstream had no grant for it.
    NotGranted,
    /// Ran to completion.
    Ran,
    /// Still running, or its upstream was killed.
    Running,
    /// Not started because the upstream had no free slot.
    Shed,
}

impl Execution {
    /// Reports whether the request was started.
    pub fn was_started(&self) -> bool {
        !matches!(
            self.outcome,
            ExecutionOutcome::NotGranted | ExecutionOutcome::Shed
        )
    }
}

/// Reads a file of executions. If an execution was recorded at its start and at its end, returns the later record.
///
/// # Errors
///
/// Returns an I/O error if the file cannot be read, or the error of the first complete line that is not an execution.
pub fn read_executions(path: &Path) -> io::Result<Vec<Execution>> {
    let text = fs::read_to_string(path)?;
    let mut executions = BTreeMap::new();
    // A line without a line break is still being written.
    for line in text
        .split_inclusive('\n')
        .filter(|line| line.ends_with('\n'))
    {
        let execution = serde_json::from_str::<Execution>(line)?;
        executions.insert((execution.instance.clone(), execution.serial), execution);
    }
    Ok(executions.into_values().collect())
}
