//! Suspicion levels of requests that crash upstreams.

use std::collections::BTreeMap;

use cluster::Fleet;
use cluster::QuarantineState;
use policy::Fingerprint;
use policy::SuspicionLevel;

/// Returns the suspicion levels of all requests that are in force at `now_unix_ms`.
pub(crate) fn suspicion_levels(
    fleet: &Fleet,
    now_unix_ms: u64,
) -> BTreeMap<Fingerprint, SuspicionLevel> {
    fleet
        .quarantine()
        .keys()
        .filter_map(|fingerprint| {
            let level = suspicion_level(fleet, fingerprint, now_unix_ms)?;
            Some((fingerprint.clone(), level))
        })
        .collect()
}

/// Returns the suspicion level of one request that is in force at `now_unix_ms`.
pub(crate) fn suspicion_level(
    fleet: &Fleet,
    fingerprint: &str,
    now_unix_ms: u64,
) -> Option<SuspicionLevel> {
    match fleet.quarantine().get(fingerprint)?.state_at(now_unix_ms)? {
        QuarantineState::Refused => Some(SuspicionLevel::Refused),
        QuarantineState::Suspect => Some(SuspicionLevel::Suspect),
    }
}
