//! The settings of one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use cluster::LEASE;
use ids::RegionId;
use ids::ServiceId;
use ids::VmId;
use ids::ZoneId;
use log::LevelFilter;
use serde::Deserialize;
use wire::Secret;

use crate::clock::milliseconds;
use crate::settings::Addresses;
use crate::settings::Limits;
use crate::settings::LogSettings;
use crate::settings::LoggingSettings;
use crate::settings::MetricsSettings;
use crate::settings::PolicySettings;
use crate::settings::RateTolerance;
use crate::settings::RolloutSettings;
use crate::settings::SettingsError;
use crate::settings::range::check_range;

/// Settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Addresses that the process listens on.
    pub addresses: Addresses,
    /// Service of the callers at this process. It is sent to upstreams that expect it.
    #[serde(default)]
    pub caller_service: Option<ServiceId>,
    /// File for decision log lines. Absent for standard output.
    #[serde(default)]
    pub decision_log: Option<PathBuf>,
    /// Duration of this member's lease after its witnesses have renewed it, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Limits on requests, queues and timing.
    #[serde(default)]
    pub limits: Limits,
    /// Access to the platform's log.
    pub log: LogSettings,
    /// Least severe level that is logged.
    #[serde(default = "default_level")]
    pub log_level: LevelFilter,
    /// Log lines that are written.
    #[serde(default)]
    pub logging: LoggingSettings,
    /// Export of metrics to statsd. Absent for none. Independently of it, metrics can be read at `addresses.metrics`.
    #[serde(default)]
    pub metrics: Option<MetricsSettings>,
    /// Secret shared by peers, in place of `peer_secret_file`. Meant for networks that are closed to others.
    #[serde(default)]
    pub peer_secret: Option<String>,
    /// File with the secret shared by peers.
    #[serde(default)]
    pub peer_secret_file: PathBuf,
    /// Policies that decide about requests.
    #[serde(default)]
    pub policy: PolicySettings,
    /// Tolerance for workspaces that exceed their rate limits. Absent for none.
    #[serde(default)]
    pub rate_tolerance: Option<RateTolerance>,
    /// Region of the VM.
    pub region: RegionId,
    /// Bounds of version roll-outs. Absent if orders of roll-outs are not supported.
    #[serde(default)]
    pub rollout: Option<RolloutSettings>,
    /// File for the trace of the control thread's events. Absent for no trace.
    #[serde(default)]
    pub trace_file: Option<PathBuf>,
    /// Name of the VM, unique in the fleet.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
}

fn default_lease_ms() -> u64 {
    milliseconds(LEASE)
}

fn default_level() -> LevelFilter {
    LevelFilter::Info
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first problem, with the field, its value and the remedy.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            path: path.to_owned(),
            error,
        })?;
        let settings = Self::parse(path, &text)?;
        settings.check()?;
        settings.secret()?;
        Ok(settings)
    }

    fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
            SettingsError::Malformed {
                path: path.to_owned(),
                field: error.path().to_string(),
                error: error.into_inner(),
            }
        })
    }

    fn check(&self) -> Result<(), SettingsError> {
        for (field, name) in [
            ("region", &self.region),
            ("vm", &self.vm),
            ("zone", &self.zone),
        ] {
            check_name(field, name)?;
        }
        check_range("lease_ms", self.lease_ms, 1_000, 10_000)?;
        self.check_addresses()?;
        self.log.check()?;
        self.limits.check()?;
        self.logging.check()?;
        if let Some(tolerance) = &self.rate_tolerance {
            tolerance.check()?;
        }
        if let Some(rollout) = &self.rollout {
            rollout.check()?;
        }
        self.policy.check()
    }

    fn check_addresses(&self) -> Result<(), SettingsError> {
        let mut fields: BTreeMap<SocketAddr, &'static str> = BTreeMap::new();
        for (field, address) in self.addresses.with_field_names() {
            if address.port() == 0 {
                return Err(SettingsError::Invalid {
                    field,
                    value: address.to_string(),
                    remedy: "name a port above 0, since peers and callers must know it".to_owned(),
                });
            }
            if let Some(other) = fields.insert(address, field) {
                return Err(SettingsError::DuplicateAddress {
                    field,
                    other,
                    value: address.to_string(),
                });
            }
        }
        Ok(())
    }

    /// Returns the duration of this member's lease.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the secret shared by peers, which it reads from its file unless the settings contain it.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read or the secret cannot be used.
    pub fn secret(&self) -> Result<Secret, SettingsError> {
        let refusal = |reason: String| SettingsError::PeerSecret {
            path: self.peer_secret_file.clone(),
            reason,
        };
        let bytes = match &self.peer_secret {
            Some(secret) => secret.clone().into_bytes(),
            None => {
                std::fs::read(&self.peer_secret_file).map_err(|error| refusal(error.to_string()))?
            }
        };
        Secret::new(&bytes).map_err(|error| refusal(error.to_string()))
    }
}

fn check_name(field: &'static str, name: &str) -> Result<(), SettingsError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-._".contains(c);
    if !name.is_empty() && name.len() <= 64 && name.chars().all(allowed) {
        return Ok(());
    }
    Err(SettingsError::Invalid {
        field,
        value: name.to_owned(),
        remedy: "write 1 to 64 letters, digits, `-`, `.` or `_`".to_owned(),
    })
}
