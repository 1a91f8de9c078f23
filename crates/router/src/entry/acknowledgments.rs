//! Statements to homes that their answers have arrived.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use ids::RequestId;
use tokio::time::interval;
use wire::Acknowledge;
use wire::Link;
use wire::Notice;

/// Time between two rounds of statements.
const INTERVAL: Duration = Duration::from_secs(1);

/// Collects the ids of answers that have arrived, and tells their homes.
#[derive(Debug, Default)]
pub(crate) struct Acknowledgments {
    waiting: Mutex<BTreeMap<String, (Link, Vec<RequestId>)>>,
}

impl Acknowledgments {
    /// Notes that an answer has arrived over a link.
    pub(crate) fn add(&self, link: &Link, request_id: RequestId) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let (_, request_ids) = waiting
            .entry(link.peer().vm.clone())
            .or_insert_with(|| (link.clone(), Vec::new()));
        request_ids.push(request_id);
    }

    /// Tells homes of their answers until the process ends.
    pub(crate) async fn run(&self) {
        let mut tick = interval(INTERVAL);
        loop {
            tick.tick().await;
            let waiting =
                std::mem::take(&mut *self.waiting.lock().unwrap_or_else(PoisonError::into_inner));
            for (link, request_ids) in waiting.into_values() {
                let _ = link.notify(Notice::Acknowledge(Acknowledge { request_ids }));
            }
        }
    }
}
