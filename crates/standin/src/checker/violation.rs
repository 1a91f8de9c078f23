//! Violations that the trace checker reports.

use std::fmt::Display;
use std::fmt::Formatter;

use ids::Fence;
use ids::RequestId;
use ids::VmId;
use ids::WorkspaceId;
use serde::Serialize;

use crate::Location;
use crate::MonotonicUs;

/// Violation of a guarantee, found in a trace.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case", tag = "violation")]
pub enum Violation {
    /// A caller got a truncated response, or the response to another request.
    #[serde(rename = "foreign_answer")]
    WrongResponse {
        /// The request.
        request_id: RequestId,
        /// How the response differs from the expected one.
        difference: String,
    },
    /// A request that was refused as not run did run.
    FalseNotRun {
        /// The request.
        request_id: RequestId,
    },
    /// An acknowledged request did not run to completion.
    LostRequest {
        /// The request.
        request_id: RequestId,
    },
    /// An upstream was given more concurrent requests than it can handle.
    #[serde(rename = "more_than_borne")]
    CapacityExceeded {
        /// The request above the capacity.
        request_id: RequestId,
        /// Requests that ran when it arrived, including it.
        running: u32,
        /// Concurrent requests that the upstream could handle.
        #[serde(rename = "bears")]
        capacity: u32,
    },
    /// A request ran under an older fence than an earlier one of the same unit.
    #[serde(rename = "old_fence")]
    StaleFence {
        /// The unit.
        unit: String,
        /// The request.
        request_id: RequestId,
        /// Its fence.
        fence: Fence,
        /// Fence of the earlier request.
        newest: Fence,
    },
    /// A request was started in a VM or zone that was out of service.
    OutOfService {
        /// The VM or zone.
        #[serde(rename = "place")]
        location: Location,
        /// The request.
        request_id: RequestId,
        /// Time since it was taken out of service, in microseconds.
        after_us: u64,
    },
    /// More requests of a workspace were sent and started within a window than its rate and burst allow.
    RateExceeded {
        /// The workspace.
        workspace: WorkspaceId,
        /// Start of the window.
        from_us: MonotonicUs,
        /// End of the window.
        until_us: MonotonicUs,
    },
    /// An upstream got more requests than the rate that it states.
    StatedRateExceeded {
        /// The first request above the rate.
        request_id: RequestId,
        /// VM of the upstream.
        vm: VmId,
    },
    /// A request that may run only once ran more often.
    #[serde(rename = "ran_again")]
    DuplicateExecution {
        /// Request ids of the executions.
        request_ids: Vec<RequestId>,
    },
    /// Two owners of a unit or key ran requests at the same time.
    TwoOwners {
        /// The unit or key.
        subject: String,
        /// Request at the owner that started first.
        first: RequestId,
        /// Request at the other owner.
        second: RequestId,
    },
    /// A request ran after the last tenant key of its workspace was withdrawn.
    WithdrawnKey {
        /// The workspace.
        workspace: WorkspaceId,
        /// The request.
        request_id: RequestId,
        /// Time since the withdrawal, in microseconds.
        after_us: u64,
    },
    /// A request ran for a workspace other than that of its tenant key.
    WrongWorkspace {
        /// The request.
        request_id: RequestId,
        /// Workspace of the tenant key.
        expected: Option<WorkspaceId>,
        /// Workspace that it ran for.
        actual: Option<WorkspaceId>,
    },
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match serde_json::to_string(self) {
            Ok(text) => f.write_str(&text),
            Err(_) => Err(std::fmt::Error),
        }
    }
}
