//! A request in quarantine.

use std::collections::BTreeSet;

use ids::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::QuarantineState;

/// Lifetime of an entry after the crash that was reported last, in milliseconds. Reports state its end, from which the time
/// of the crash follows.
pub const QUARANTINE_MS: u64 = 600_000;

/// Time for which a request is refused after a crash that identified it, in milliseconds. It then runs alone again.
const REFUSAL_MS: u64 = 30_000;

/// Maximum time between crashes of several upstreams that have one cause, in milliseconds. Requests that were running at these
/// crashes had not become suspects yet.
const INCIDENT_MS: u64 = 2_000;

/// A request that was running while upstreams crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineEntry {
    /// Whether the request ran alone as a suspect at one of the crashes.
    pub alone: bool,
    /// Time at which the entry ends, in milliseconds since the Unix epoch.
    pub expires_unix_ms: u64,
    /// Time of the first crash, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub first_unix_ms: u64,
    /// Time until which the request is refused, in milliseconds since the Unix epoch. 0 if no crash has identified it.
    #[serde(default)]
    pub refused_until_unix_ms: u64,
    /// Upstream instances that crashed.
    pub upstream_instances: BTreeSet<String>,
    /// Workspace that sent the request.
    pub workspace: WorkspaceId,
}

impl QuarantineEntry {
    pub(crate) fn new(workspace: WorkspaceId, first_unix_ms: u64) -> Self {
        Self {
            alone: false,
            expires_unix_ms: 0,
            first_unix_ms,
            refused_until_unix_ms: 0,
            upstream_instances: BTreeSet::new(),
            workspace,
        }
    }

    /// Adds the crash of an upstream, and returns how entries treat the request right after it.
    ///
    /// A crash identifies the request if it ran alone as a suspect, or if upstreams go on crashing while it runs, although
    /// the first crash has made it a suspect.
    pub(crate) fn add_crash(
        &mut self,
        crashed_unix_ms: u64,
        instance: String,
        alone: bool,
    ) -> QuarantineState {
        let is_later = crashed_unix_ms > self.first_unix_ms.saturating_add(INCIDENT_MS);
        let is_identified = alone || (is_later && !self.upstream_instances.contains(&instance));
        if is_identified {
            let until = crashed_unix_ms.saturating_add(REFUSAL_MS);
            self.refused_until_unix_ms = self.refused_until_unix_ms.max(until);
        }
        self.alone |= alone;
        let expires = crashed_unix_ms.saturating_add(QUARANTINE_MS);
        self.expires_unix_ms = self.expires_unix_ms.max(expires);
        self.upstream_instances.insert(instance);
        self.level_at(crashed_unix_ms)
    }

    /// Returns how entries treat the request, or `None` once the quarantine entry has expired.
    pub fn state_at(&self, now_unix_ms: u64) -> Option<QuarantineState> {
        (now_unix_ms < self.expires_unix_ms).then(|| self.level_at(now_unix_ms))
    }

    fn level_at(&self, now_unix_ms: u64) -> QuarantineState {
        match now_unix_ms < self.refused_until_unix_ms {
            true => QuarantineState::Refused,
            false => QuarantineState::Suspect,
        }
    }
}
