//! Confirmation and recording of crashes of the local upstream.

use std::time::Duration;

use cluster::Body;
use cluster::QUARANTINE_MS;
use futures_util::future::join_all;
use policy::CrashObservation;

use crate::clock::unix_ms;
use crate::home::Home;
use crate::home::local_upstream::LocalUpstream;

/// Maximum time for which refusals are delayed until a crash is recorded.
const RECORDING_TIMEOUT: Duration = Duration::from_secs(2);

/// A possible crash of an upstream, noticed by one of its requests.
pub(crate) struct CrashReport<'a> {
    pub(crate) home: &'a Home,
    pub(crate) upstream: &'a LocalUpstream,
}

impl CrashReport<'_> {
    /// Reports whether the upstream crashed, after recording its running requests as suspects.
    ///
    /// Callers get their refusals only after that. Otherwise a resent request could reach a home before the crash is
    /// recorded.
    pub(crate) async fn confirm_and_record(&self) -> bool {
        if !self.has_crashed().await {
            return false;
        }
        let mut is_recorded = self.upstream.crash_recorded.lock().await;
        if !*is_recorded {
            *is_recorded = true;
            let recording = self.record();
            let _ = tokio::time::timeout(RECORDING_TIMEOUT, recording).await;
        }
        true
    }

    /// Reports whether the upstream no longer runs or has restarted.
    async fn has_crashed(&self) -> bool {
        if self.home.shared.dialect.has_control_interface {
            self.upstream.reports.record_extra_request();
        }
        let instance = &self.upstream.announcement.instance;
        self.upstream.client.has_ended(instance).await
    }

    async fn record(&self) {
        self.home
            .control
            .send_event(membership::Event::UpstreamLost);
        let bodies = self.record_suspects();
        join_all(
            bodies
                .into_iter()
                .map(|body| self.home.control.append(body)),
        )
        .await;
    }

    /// Marks all running requests as suspects, and returns the quarantine records to append.
    fn record_suspects(&self) -> Vec<Body> {
        let now = self.home.shared.clock.now();
        let mut state = self.home.lock();
        let observations = state.suspects.record_crash(now);
        let running = &state.running;
        let workspace = |observation: &CrashObservation| {
            let suspect = running
                .values()
                .find(|running| running.fingerprint == observation.fingerprint);
            suspect
                .map(|running| running.workspace.clone())
                .unwrap_or_default()
        };
        let record = |observation: CrashObservation| Body::Quarantine {
            vm: self.home.shared.vm.clone(),
            upstream_instance: self.upstream.announcement.instance.clone(),
            workspace: workspace(&observation),
            fingerprint: observation.fingerprint,
            alone: observation.alone,
            expires_unix_ms: unix_ms().saturating_add(QUARANTINE_MS),
        };
        observations.into_iter().map(record).collect()
    }
}
