//! Reason why a membership ended.

use serde::Deserialize;
use serde::Serialize;

/// Reason why a membership ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaveReason {
    /// The log shows that the member was declared lost or replaced.
    DeclaredLost,
    /// The witnesses stopped renewing the lease for good.
    LeaseLost,
    /// A graceful stop was requested.
    Stopped,
    /// The upstream no longer answers.
    UpstreamSilent,
}
