//! Grants and clock probes sent to the local upstream.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cluster::UnitFence;
use ids::Unit;
use membership::Announcement;
use membership::Event;
use membership::Grant;
use membership::GrantAnswer;
use upstream::ClientSettings;
use upstream::GrantMessage;
use upstream::UpstreamClient;

use crate::control::ControlSender;

/// Time after which a grant or probe counts as unanswered.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends grants and clock probes to the local upstream, and passes the answers to the control thread.
pub(crate) struct UpstreamControl {
    client: Option<(Announcement, Arc<UpstreamClient>)>,
    control: ControlSender,
}

impl UpstreamControl {
    pub(crate) fn new(control: ControlSender) -> Self {
        Self {
            client: None,
            control,
        }
    }

    /// Uses the address of the upstream's latest announcement.
    pub(crate) fn set_announcement(&mut self, announcement: &Announcement) {
        let current = self.client.as_ref();
        if current.is_some_and(|(current, _)| current.address == announcement.address) {
            return;
        }
        let client = UpstreamClient::new(announcement.address, ClientSettings::default());
        self.client = Some((announcement.clone(), Arc::new(client)));
    }

    /// Sends a grant. Its answer or failure is passed to the control thread as an event.
    pub(crate) fn send_grant(&self, grant: Grant) {
        let control = self.control.clone();
        let sequence = grant.sequence;
        let Some((_, client)) = self.client.clone() else {
            control.send_event(Event::GrantFailed { sequence });
            return;
        };
        tokio::spawn(async move {
            let message = grant_message(grant);
            let request = client.update_grants(&message);
            let event = match tokio::time::timeout(REQUEST_TIMEOUT, request).await {
                Ok(Ok(answer)) => Event::GrantAnswered(GrantAnswer {
                    clock_ms: answer.clock_ms,
                    instance: answer.instance,
                    running: widen_counts(answer.running),
                    sequence,
                }),
                Ok(Err(error)) => {
                    log::warn!("grant {sequence} failed: {error}");
                    Event::GrantFailed { sequence }
                }
                Err(_) => Event::GrantFailed { sequence },
            };
            control.send_event(event);
        });
    }

    /// Samples the upstream's clock, and passes the sample to the control thread as an event.
    pub(crate) fn sample_clock(&self) {
        let control = self.control.clone();
        let Some((_, client)) = self.client.clone() else {
            return;
        };
        tokio::spawn(async move {
            let health = tokio::time::timeout(REQUEST_TIMEOUT, client.fetch_health()).await;
            if let Ok(Ok(health)) = health {
                control.send_event(Event::ClockSampled {
                    clock_ms: health.clock_ms,
                    instance: health.instance,
                });
            }
        });
    }
}

fn grant_message(grant: Grant) -> GrantMessage {
    GrantMessage {
        all: grant.all,
        expiry_ms: grant.expiry_ms,
        granted: grant.granted.into_iter().map(unit_grant).collect(),
        holder: grant.holder,
        instance: grant.instance,
        revoked: grant.revoked,
        sequence: grant.sequence,
    }
}

fn unit_grant(unit: UnitFence) -> upstream::Grant {
    upstream::Grant {
        fence: unit.fence,
        unit: unit.unit,
    }
}

fn widen_counts(running: BTreeMap<Unit, u32>) -> BTreeMap<Unit, u64> {
    running
        .into_iter()
        .map(|(unit, count)| (unit, u64::from(count)))
        .collect()
}
