//! The local upstream and its client.

use std::sync::Arc;

use config::Service;
use membership::Announcement;
use tokio::sync::Mutex;
use upstream::ClientSettings;
use upstream::UpstreamClient;

use crate::shared::Shared;

/// The local upstream, as it announced itself, and the client that connects to it.
#[derive(Clone, Debug)]
pub(crate) struct LocalUpstream {
    pub(crate) announcement: Arc<Announcement>,
    pub(crate) client: Arc<UpstreamClient>,
    /// Whether the crash of this upstream has been recorded.
    pub(crate) crash_recorded: Arc<Mutex<bool>>,
}

impl LocalUpstream {
    pub(crate) fn new(
        announcement: Arc<Announcement>,
        declared: Option<&Service>,
        shared: &Shared,
    ) -> Self {
        let connections = declared.and_then(|declared| declared.connections);
        let settings = ClientSettings {
            max_answer_bytes: usize::try_from(shared.limits.answer_bytes).unwrap_or(usize::MAX),
            max_connections: connections.unwrap_or(announcement.connections) as usize,
            dialect: Arc::clone(&shared.dialect),
            ..ClientSettings::default()
        };
        let client = UpstreamClient::new(announcement.address, settings);
        Self {
            announcement,
            client: Arc::new(client),
            crash_recorded: Arc::default(),
        }
    }
}
