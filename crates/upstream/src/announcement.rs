//! An upstream's description of itself, which it sends to its home.

use std::net::SocketAddr;

use ids::ServiceId;
use serde::Deserialize;
use serde::Serialize;

use crate::AnnouncementError;

/// Maximum length of a service or instance name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// An upstream's description of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Address on which the upstream accepts requests.
    pub address: SocketAddr,
    /// Whether the upstream checks grants.
    pub checks_orders: bool,
    /// Maximum number of concurrent connections.
    pub connections: u32,
    /// Id of the upstream's process instance, new at every start.
    pub instance: String,
    /// Service that the upstream provides.
    pub service: ServiceId,
    /// Number of requests that the upstream runs concurrently when it is warm.
    pub slots: u32,
}

impl Announcement {
    /// Parses and validates an announcement.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field, with its value and how to correct it.
    pub fn parse(bytes: &[u8]) -> Result<Self, AnnouncementError> {
        let mut json = serde_json::Deserializer::from_slice(bytes);
        let announcement: Self = serde_path_to_error::deserialize(&mut json).map_err(|error| {
            AnnouncementError::Json {
                path: error.path().to_string(),
                reason: error.into_inner().to_string(),
            }
        })?;
        announcement.validate()?;
        Ok(announcement)
    }

    fn validate(&self) -> Result<(), AnnouncementError> {
        check_count("connections", self.connections)?;
        check_count("slots", self.slots)?;
        check_name("instance", &self.instance)?;
        check_name("service", &self.service)?;
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err(AnnouncementError::Address(self.address));
        }
        Ok(())
    }
}

fn check_count(field: &'static str, value: u32) -> Result<(), AnnouncementError> {
    if value == 0 {
        return Err(AnnouncementError::Zero { field });
    }
    Ok(())
}

fn check_name(field: &'static str, value: &str) -> Result<(), AnnouncementError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if value.is_empty() || value.len() > MAX_NAME_BYTES || !value.chars().all(is_allowed) {
        return Err(AnnouncementError::Name {
            field,
            value: value.chars().take(MAX_NAME_BYTES).collect(),
        });
    }
    Ok(())
}
