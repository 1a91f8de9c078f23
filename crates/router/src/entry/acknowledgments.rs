//! Acknowledgments to homes that their answers arrived at this entry.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use ids::RequestId;
use tokio::time::interval;
use wire::Acknowledge;
use wire::Link;
use wire::Notice;

/// Interval between two rounds of acknowledgments.
const ACKNOWLEDGE_INTERVAL: Duration = Duration::from_secs(1);

/// Collects the ids of the answers that arrived, and sends them to their homes in rounds.
#[derive(Debug, Default)]
pub(crate) struct Acknowledgments {
    pending: Mutex<BTreeMap<String, (Link, Vec<RequestId>)>>,
}

impl Acknowledgments {
    /// Records that an answer arrived over a link.
    pub(crate) fn add(&self, link: &Link, request_id: RequestId) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let (_, request_ids) = pending
            .entry(link.peer().vm.clone())
            .or_insert_with(|| (link.clone(), Vec::new()));
        request_ids.push(request_id);
    }

    /// Sends the collected acknowledgments at each interval until the process ends.
    pub(crate) async fn run(&self) {
        let mut tick = interval(ACKNOWLEDGE_INTERVAL);
        loop {
            tick.tick().await;
            let pending =
                std::mem::take(&mut *self.pending.lock().unwrap_or_else(PoisonError::into_inner));
            for (link, request_ids) in pending.into_values() {
                let _ = link.notify(Notice::Acknowledge(Acknowledge { request_ids }));
            }
        }
    }
}
