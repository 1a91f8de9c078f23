//! Settings for access to the platform's log.

use std::time::Duration;

use membership::ReadPacing;
use records::AppendLimits;
use serde::Deserialize;

use crate::settings::SettingsError;
use crate::settings::range::check_range;

/// Smallest size of a record that the log must accept, in bytes.
const MIN_RECORD_BYTES: u64 = 16 << 10;

/// Greatest size of an append, in bytes.
const MAX_CALL_BYTES: u64 = 16 << 20;

/// Settings for access to the platform's log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Base addresses of the log service, such as `http://10.0.0.1:8080`, tried in turn.
    pub addresses: Vec<String>,
    /// Maximum total size of the records of one append, in bytes.
    #[serde(default = "default_call_bytes")]
    pub call_bytes: u64,
    /// Reads per second of all members together above which members pause for longer after a read with records, or 0 for
    /// no limit.
    #[serde(default)]
    pub fleet_reads_per_second: u32,
    /// Shortest pause after a read with records, in milliseconds. A longer pause saves reads but delays records.
    #[serde(default)]
    pub read_pause_ms: u64,
    /// Time that one read waits for new records, in milliseconds.
    #[serde(default = "default_read_wait_ms")]
    pub read_wait_ms: u64,
    /// Maximum size of a record, in bytes. Longer ones are written in parts.
    #[serde(default = "default_record_bytes")]
    pub record_bytes: u64,
    /// Time for which the log keeps records, in milliseconds. Absent if that time is long.
    #[serde(default)]
    pub retention_ms: Option<u64>,
    /// Time-out of a call to the log, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_call_bytes() -> u64 {
    AppendLimits::default().call_bytes as u64
}

fn default_record_bytes() -> u64 {
    AppendLimits::default().record_bytes as u64
}

fn default_read_wait_ms() -> u64 {
    1_500
}

fn default_timeout_ms() -> u64 {
    3_000
}

impl LogSettings {
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        check_range(
            "log.call_bytes",
            self.call_bytes,
            MIN_RECORD_BYTES,
            MAX_CALL_BYTES,
        )?;
        check_range(
            "log.record_bytes",
            self.record_bytes,
            MIN_RECORD_BYTES,
            self.call_bytes,
        )?;
        check_range("log.read_pause_ms", self.read_pause_ms, 0, 1_000)?;
        check_range("log.read_wait_ms", self.read_wait_ms, 10, 30_000)?;
        if let Some(retention_ms) = self.retention_ms {
            check_range("log.retention_ms", retention_ms, 1_000, u64::MAX)?;
        }
        check_range("log.timeout_ms", self.timeout_ms, 100, 60_000)?;
        if self.addresses.is_empty() {
            return Err(SettingsError::Invalid {
                field: "log.addresses",
                value: "[]".to_owned(),
                remedy: "name at least one address of the log service".to_owned(),
            });
        }
        for address in &self.addresses {
            check_address(address)?;
        }
        Ok(())
    }

    /// Returns the limits of appends.
    pub fn append_limits(&self) -> AppendLimits {
        AppendLimits {
            call_bytes: self.call_bytes as usize,
            record_bytes: self.record_bytes as usize,
        }
    }

    /// Returns the pauses after reads with records.
    pub fn read_pacing(&self) -> ReadPacing {
        ReadPacing {
            fleet_reads_per_second: self.fleet_reads_per_second,
            min_pause: Duration::from_millis(self.read_pause_ms),
        }
    }

    /// Returns the time that one read waits for new records.
    pub fn read_wait(&self) -> Duration {
        Duration::from_millis(self.read_wait_ms)
    }

    /// Returns the time for which the log keeps records, or `None` if that time is long.
    pub fn retention(&self) -> Option<Duration> {
        self.retention_ms.map(Duration::from_millis)
    }

    /// Returns the time-out of a call to the log.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

fn check_address(address: &str) -> Result<(), SettingsError> {
    let authority = address.strip_prefix("http://").unwrap_or_default();
    if authority.is_empty() || authority.contains('/') {
        return Err(SettingsError::Invalid {
            field: "log.addresses",
            value: address.to_owned(),
            remedy: "write http://HOST:PORT without a path".to_owned(),
        });
    }
    Ok(())
}
