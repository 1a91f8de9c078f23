//! Periodic announcements of an upstream to its home.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

use ids::ServiceId;
use serde::Serialize;
use ureq::Agent;

use crate::lock::lock;
use crate::upstream::UpstreamService;

const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(900);

/// Announcement that an upstream sends to its home.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Announcement {
    pub(crate) address: SocketAddr,
    pub(crate) checks_orders: bool,
    pub(crate) connections: u32,
    pub(crate) instance: String,
    pub(crate) service: ServiceId,
    pub(crate) slots: u32,
}

/// Handle to a thread that announces an upstream until the handle is dropped.
#[derive(Debug)]
pub(crate) struct Announcer {
    _stop: Sender<()>,
}

impl Announcer {
    pub(crate) fn start(
        home: SocketAddr,
        announcement: Announcement,
        service: Arc<UpstreamService>,
    ) -> Self {
        let (stop, stopped) = mpsc::channel();
        thread::spawn(move || {
            let agent = agent();
            let url = format!("http://{home}/v1/announce");
            loop {
                if !lock(&service.state).faults.mute {
                    // A failure is ignored: a home that is not up yet receives a later announcement.
                    let _ = agent.post(&url).send_json(&announcement);
                }
                if stopped.recv_timeout(ANNOUNCE_INTERVAL) != Err(RecvTimeoutError::Timeout) {
                    return;
                }
            }
        });
        Self { _stop: stop }
    }
}

fn agent() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(ANNOUNCE_TIMEOUT))
        .build()
        .into()
}
