//! Which log lines a process writes.

use serde::Deserialize;
use telemetry::Detail;

use crate::settings::SettingsError;
use crate::settings::range::check_range;

/// Which log lines a process writes, beside its messages.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoggingSettings {
    /// Lines that wait to be written. More are dropped and counted.
    pub queue_lines: u64,
    /// Which requests get lines.
    pub requests: Detail,
    /// One request in this many gets lines whatever becomes of it, the same at all processes; none if it is 0.
    pub sample_one_in: u64,
}

impl Default for LoggingSettings {
    fn default() -> Self {
        Self {
            queue_lines: 4_096,
            requests: Detail::All,
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
