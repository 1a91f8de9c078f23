//! Orders to the local upstream.

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

/// Time after which an order is taken as unanswered.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends grants and probes to the local upstream, and passes its answers to the control thread.
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

    /// Takes in the newest announcement of the upstream.
    pub(crate) fn announced(&mut self, announcement: &Announcement) {
        let present = self.client.as_ref();
        if present.is_some_and(|(present, _)| present.address == announcement.address) {
            return;
        }
        let client = UpstreamClient::new(announcement.address, ClientSettings::default());
        self.client = Some((announcement.clone(), Arc::new(client)));
    }

    /// Sends a grant. Its answer, or its failure, becomes an event.
    pub(crate) fn grant(&self, grant: Grant) {
        let control = self.control.clone();
        let sequence = grant.sequence;
        let Some((_, client)) = self.client.clone() else {
            control.event(Event::GrantFailed { sequence });
            return;
        };
        tokio::spawn(async move {
            let message = message(grant);
            let order = client.update_grants(&message);
            let event = match tokio::time::timeout(ORDER_TIMEOUT, order).await {
                Ok(Ok(answer)) => Event::GrantAnswered(GrantAnswer {
                    clock_ms: answer.clock_ms,
                    instance: answer.instance,
                    running: widen(answer.running),
                    sequence,
                }),
                Ok(Err(error)) => {
                    log::warn!("grant {sequence}: {error}");
                    Event::GrantFailed { sequence }
                }
                Err(_) => Event::GrantFailed { sequence },
            };
            control.event(event);
        });
    }

    /// Samples the upstream's clock.
    pub(crate) fn probe(&self) {
        let control = self.control.clone();
        let Some((_, client)) = self.client.clone() else {
            return;
        };
        tokio::spawn(async move {
            let health = tokio::time::timeout(ORDER_TIMEOUT, client.fetch_health()).await;
            if let Ok(Ok(health)) = health {
                control.event(Event::ClockSampled {
                    clock_ms: health.clock_ms,
                    instance: health.instance,
                });
            }
        });
    }
}

fn message(grant: Grant) -> GrantMessage {
    GrantMessage {
        all: grant.all,
        expiry_ms: grant.expiry_ms,
        granted: grant.granted.into_iter().map(granted).collect(),
        holder: grant.holder,
        instance: grant.instance,
        revoked: grant.revoked,
        sequence: grant.sequence,
    }
}

fn granted(unit: UnitFence) -> upstream::Grant {
    upstream::Grant {
        fence: unit.fence,
        unit: unit.unit,
    }
}

fn widen(running: BTreeMap<Unit, u32>) -> BTreeMap<Unit, u64> {
    running
        .into_iter()
        .map(|(unit, count)| (unit, u64::from(count)))
        .collect()
}
