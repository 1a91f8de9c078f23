//! A request in quarantine.

use std::collections::BTreeSet;

use ids::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::QuarantineState;

/// Number of distinct upstream instances whose crashes cause a request to be refused.
const MIN_CRASHES_TO_REFUSE: usize = 2;

/// A request that was running while upstreams crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineEntry {
    /// Whether the request was the only one running at one of the crashes.
    pub alone: bool,
    /// Time at which the entry ends, in milliseconds since the Unix epoch.
    pub expires_unix_ms: u64,
    /// Upstream instances that crashed.
    pub upstream_instances: BTreeSet<String>,
    /// Workspace that sent the request.
    pub workspace: WorkspaceId,
}

impl QuarantineEntry {
    /// Returns how entries treat the request, or `None` once the quarantine entry has expired.
    pub fn state_at(&self, now_unix_ms: u64) -> Option<QuarantineState> {
        (now_unix_ms < self.expires_unix_ms).then(|| self.state())
    }

    pub(crate) fn state(&self) -> QuarantineState {
        if self.alone || self.upstream_instances.len() >= MIN_CRASHES_TO_REFUSE {
            QuarantineState::Refused
        } else {
            QuarantineState::Suspect
        }
    }
}
