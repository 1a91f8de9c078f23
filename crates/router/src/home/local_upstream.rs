//! The local upstream and its client.

use std::sync::Arc;

use config::Service;
use membership::Announcement;
use tokio::sync::Mutex;
use upstream::ClientSettings;
use upstream::UpstreamClient;

use crate::control::ControlSender;
use crate::home::answer_reports::AnswerReports;
use crate::shared::Shared;

/// The local upstream, as it announced itself, and the client that connects to it.
#[derive(Clone, Debug)]
pub(crate) struct LocalUpstream {
    pub(crate) announcement: Arc<Announcement>,
    pub(crate) client: Arc<UpstreamClient>,
    /// Whether the crash of this upstream has been recorded.
    pub(crate) crash_recorded: Arc<Mutex<bool>>,
    pub(crate) reports: Arc<AnswerReports>,
}

impl LocalUpstream {
    pub(crate) fn new(
        announcement: Arc<Announcement>,
        declared: Option<&Service>,
        control: &ControlSender,
        shared: &Arc<Shared>,
    ) -> Self {
        let connections = declared.and_then(|declared| declared.connections);
        let settings = ClientSettings {
            max_answer_bytes: usize::try_from(shared.limits.answer_bytes).unwrap_or(usize::MAX),
            max_connections: connections.unwrap_or(announcement.connections) as usize,
            max_total_answer_bytes: usize::try_from(shared.limits.home_answer_bytes)
                .unwrap_or(usize::MAX),
            dialect: Arc::clone(&shared.dialect),
            ..ClientSettings::default()
        };
        let reports = Arc::new(AnswerReports::new(announcement.process(), control, shared));
        let observer = Arc::clone(&reports);
        let client = UpstreamClient::with_observer(announcement.address, settings, observer);
        Self {
            announcement,
            client: Arc::new(client),
            crash_recorded: Arc::default(),
            reports,
        }
    }
}
