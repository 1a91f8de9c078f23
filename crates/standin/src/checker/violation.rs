//! What a trace shows that must never happen.

use std::fmt::Display;
use std::fmt::Formatter;

use ids::Fence;
use ids::RequestId;
use ids::WorkspaceId;
use serde::Serialize;

use crate::Location;
use crate::MonotonicUs;

/// What a trace shows that must never happen.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case", tag = "violation")]
pub enum Violation {
    /// An answer is not that of its own request, or not whole.
    #[serde(rename = "foreign_answer")]
    WrongResponse {
        /// Request that was sent.
        request_id: RequestId,
        /// What the answer tells of another.
        difference: String,
    },
    /// A request that was refused as not run has run.
    FalseNotRun {
        /// The request.
        request_id: RequestId,
    },
    /// An acknowledged request has not run to its end.
    LostRequest {
        /// The request.
        request_id: RequestId,
    },
    /// An upstream was given more than it bears.
    #[serde(rename = "more_than_borne")]
    CapacityExceeded {
        /// The request on top.
        request_id: RequestId,
        /// Requests that ran with it.
        running: u32,
        /// Requests that the upstream bore.
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
    /// New work reached a place that was out of service.
    OutOfService {
        /// The place.
        #[serde(rename = "place")]
        location: Location,
        /// The request.
        request_id: RequestId,
        /// Time since the place was taken out, in microseconds.
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
    /// A request that may run once has run more often.
    #[serde(rename = "ran_again")]
    DuplicateExecution {
        /// The executions, as request ids.
        request_ids: Vec<RequestId>,
    },
    /// Two owners of a unit or key ran requests at the same time.
    TwoOwners {
        /// The unit or key.
        subject: String,
        /// Request of one owner.
        first: RequestId,
        /// Request of the other.
        second: RequestId,
    },
    /// A request of a workspace ran after its last tenant key was withdrawn.
    WithdrawnKey {
        /// The workspace.
        workspace: WorkspaceId,
        /// The request.
        request_id: RequestId,
        /// Time since the withdrawal, in microseconds.
        after_us: u64,
    },
    /// A request ran for another workspace than that of its tenant key.
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
