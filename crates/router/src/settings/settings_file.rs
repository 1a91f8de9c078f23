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
use crate::settings::SettingsError;
use crate::settings::range::check_range;

/// Settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Addresses that the process listens on.
    pub addresses: Addresses,
    /// Service that requests of callers at this process come from, told to upstreams where they expect it.
    #[serde(default)]
    pub caller_service: Option<ServiceId>,
    /// File that decision log lines go to, standard output when absent.
    #[serde(default)]
    pub decision_log: Option<PathBuf>,
    /// Time that a lease of this member lasts after its witnesses renewed it, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Limits on what the process accepts and holds.
    #[serde(default)]
    pub limits: Limits,
    /// Where the platform's log is.
    pub log: LogSettings,
    /// Least severe level that is logged.
    #[serde(default = "default_level")]
    pub log_level: LevelFilter,
    /// Which log lines are written.
    #[serde(default)]
    pub logging: LoggingSettings,
    /// Where metrics are sent, nowhere when absent. They can be read at `addresses.metrics` besides.
    #[serde(default)]
    pub metrics: Option<MetricsSettings>,
    /// The secret that peers share, in place of a file where the network is closed to others.
    #[serde(default)]
    pub peer_secret: Option<String>,
    /// File with the secret that peers share.
    #[serde(default)]
    pub peer_secret_file: PathBuf,
    /// Which decisions about requests the process makes.
    #[serde(default)]
    pub policy: PolicySettings,
    /// By how much workspaces may exceed their limits, absent if not at all.
    #[serde(default)]
    pub rate_tolerance: Option<RateTolerance>,
    /// Region of the VM.
    pub region: RegionId,
    /// File that events of the control thread are recorded to, none when absent.
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
        self.policy.check()
    }

    fn check_addresses(&self) -> Result<(), SettingsError> {
        let mut taken: BTreeMap<SocketAddr, &'static str> = BTreeMap::new();
        for (field, address) in self.addresses.with_field_names() {
            if address.port() == 0 {
                return Err(SettingsError::Invalid {
                    field,
                    value: address.to_string(),
                    remedy: "name a port above 0, since peers and callers must know it".to_owned(),
                });
            }
            if let Some(other) = taken.insert(address, field) {
                return Err(SettingsError::DuplicateAddress {
                    field,
                    other,
                    value: address.to_string(),
                });
            }
        }
        Ok(())
    }

    /// Returns the time that a lease of this member lasts.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Reads the secret that peers share.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be used.
    pub fn secret(&self) -> Result<Secret, SettingsError> {
        let refuse = |reason: String| SettingsError::PeerSecret {
            path: self.peer_secret_file.clone(),
            reason,
        };
        let bytes = match &self.peer_secret {
            Some(secret) => secret.clone().into_bytes(),
            None => {
                std::fs::read(&self.peer_secret_file).map_err(|error| refuse(error.to_string()))?
            }
        };
        Secret::new(&bytes).map_err(|error| refuse(error.to_string()))
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
