//! Settings for the log lines of a process.

use serde::Deserialize;
use telemetry::RequestLogFilter;

use crate::settings::SettingsError;
use crate::settings::range::check_range;

/// Settings for the log lines that a process writes in addition to its log messages.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoggingSettings {
    /// Maximum number of lines that wait to be written. Further lines are dropped and counted.
    pub queue_lines: u64,
    /// Requests that get lines.
    pub requests: RequestLogFilter,
    /// Sampling rate: one request in this many gets lines whatever its outcome. All processes sample the same requests.
    /// 0 turns sampling off.
    pub sample_one_in: u64,
}

impl Default for LoggingSettings {
    fn default() -> Self {
        Self {
            queue_lines: 4_096,
            requests: RequestLogFilter::All,
            sample_one_in: 0,
        }
    }
}

impl LoggingSettings {
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        check_range("logging.queue_lines", self.queue_lines, 1, 1_000_000)?;
        check_range(
            "logging.sample_one_in",
            self.sample_one_in,
            0,
            1_000_000_000,
        )
    }
}
