//! Reloads the settings file while the process runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use telemetry::ProcessEvent;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::Settings;
use crate::shared::Shared;

/// Time between two reads of the settings file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Applies changes of the log level, the only setting that can change while the process runs.
pub(crate) struct SettingsReloader {
    hangup: Signal,
    path: PathBuf,
    shared: Arc<Shared>,
    text: Option<String>,
}

impl SettingsReloader {
    /// Creates a reloader of the settings file that listens for SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal handler cannot be installed.
    pub(crate) fn new(path: PathBuf, shared: Arc<Shared>) -> Result<Self> {
        let text = std::fs::read_to_string(&path).ok();
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            path,
            shared,
            text,
        })
    }

    /// Applies changes until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            let is_signalled = tokio::select! {
                _ = self.hangup.recv() => true,
                () = tokio::time::sleep(POLL_INTERVAL) => false,
            };
            self.reload_if_changed(is_signalled);
        }
    }

    fn reload_if_changed(&mut self, is_signalled: bool) {
        let path = &self.path;
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) if is_signalled => {
                let problem = format!("`{}` cannot be read: {error}", path.display());
                self.shared
                    .log_event(ProcessEvent::SettingsRefused { problem });
                return;
            }
            Err(_) => return,
        };
        if self.text.as_ref() == Some(&text) {
            return;
        }
        self.text = Some(text);
        match Settings::load(path) {
            Ok(settings) => {
                log::set_max_level(settings.log_level);
                self.shared.log_event(ProcessEvent::SettingsRead {
                    log_level: settings.log_level.to_string(),
                });
            }
            Err(error) => self.shared.log_event(ProcessEvent::SettingsRefused {
                problem: error.to_string(),
            }),
        }
    }
}
