//! Requests in quarantine.

use std::collections::BTreeMap;

use ids::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::QuarantineEntry;
use crate::QuarantineState;
use crate::quarantine_entry::QUARANTINE_MS;

/// Maximum lifetime of an entry, in milliseconds.
///
/// A record is made at most this long before the expiry that it holds, which gives a lower bound on the time at which
/// it was made. Entries that expired before that time are dropped, without reading any clock.
pub const MAX_QUARANTINE_MS: u64 = 24 * 60 * 60 * 1_000;

/// Maximum number of entries.
const MAX_ENTRIES: usize = 4_096;

/// Requests in quarantine by fingerprint.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub(crate) struct Quarantine {
    entries: BTreeMap<String, QuarantineEntry>,
}

/// Crash of an upstream while a request was running, as reported by a record.
pub(crate) struct CrashReport {
    pub(crate) alone: bool,
    pub(crate) expires_unix_ms: u64,
    pub(crate) fingerprint: String,
    pub(crate) upstream_instance: String,
    pub(crate) workspace: WorkspaceId,
}

impl Quarantine {
    pub(crate) fn entries(&self) -> &BTreeMap<String, QuarantineEntry> {
        &self.entries
    }

    pub(crate) fn add(&mut self, crash: CrashReport) -> QuarantineState {
        self.evict_expired(crash.expires_unix_ms.saturating_sub(MAX_QUARANTINE_MS));
        let fingerprint = crash.fingerprint;
        let crashed_unix_ms = crash.expires_unix_ms.saturating_sub(QUARANTINE_MS);
        let entry = self
            .entries
            .entry(fingerprint.clone())
            .or_insert_with(|| QuarantineEntry::new(crash.workspace, crashed_unix_ms));
        let state = entry.add_crash(crashed_unix_ms, crash.upstream_instance, crash.alone);
        self.evict_excess(&fingerprint);
        state
    }

    pub(crate) fn clear(&mut self, fingerprint: &str) -> bool {
        self.entries.remove(fingerprint).is_some()
    }

    fn evict_expired(&mut self, earliest_now_ms: u64) {
        self.entries
            .retain(|_, entry| entry.expires_unix_ms > earliest_now_ms);
    }

    fn evict_excess(&mut self, newest: &str) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        let first_to_expire = self
            .entries
            .iter()
            .filter(|(fingerprint, _)| *fingerprint != newest)
            .min_by_key(|(_, entry)| entry.expires_unix_ms)
            .map(|(fingerprint, _)| fingerprint.clone());
        if let Some(fingerprint) = first_to_expire {
            self.entries.remove(&fingerprint);
        }
    }
}
