//! Bounds of version roll-outs.

use std::time::Duration;

use serde::Deserialize;

use crate::clock::milliseconds;
use crate::duration_text;
use crate::settings::SettingsError;
use crate::settings::range::check_range;

/// Bounds of version roll-outs. Orders of roll-outs are followed only if the settings contain them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutSettings {
    /// Maximum number of requests that a version on trial gets beyond its share.
    pub max_extra_requests: u64,
    /// Maximum share of a version on trial in the requests of its service, as a fraction, in place of
    /// `max_share_percent`.
    #[serde(default)]
    pub max_share: Option<f64>,
    /// Maximum share of a version on trial in the requests of its service, in percent.
    #[serde(default = "default_max_share_percent")]
    pub max_share_percent: u64,
    /// Time after which a version that proved to be bad gets no more requests, as text with its unit, such as `5s`.
    #[serde(
        default = "default_rollback_timeout",
        deserialize_with = "duration_text::deserialize"
    )]
    pub rollback_timeout: Duration,
}

fn default_max_share_percent() -> u64 {
    10
}

fn default_rollback_timeout() -> Duration {
    Duration::from_secs(5)
}

impl RolloutSettings {
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        check_range(
            "rollout.max_extra_requests",
            self.max_extra_requests,
            0,
            1_000_000,
        )?;
        check_range("rollout.max_share_percent", self.max_share_percent, 1, 50)?;
        if let Some(share) = self.max_share
            && !(0.01..=0.5).contains(&share)
        {
            return Err(SettingsError::Invalid {
                field: "rollout.max_share",
                value: share.to_string(),
                remedy: "set it between 0.01 and 0.5".to_owned(),
            });
        }
        // Homes of a version on trial learn of a rollback by the end of a permit at the latest, 2 s after the last one.
        check_range(
            "rollout.rollback_timeout",
            milliseconds(self.rollback_timeout),
            3_000,
            600_000,
        )
    }

    /// Returns the maximum share of a version on trial in the requests of its service.
    pub fn max_share(&self) -> f64 {
        self.max_share
            .unwrap_or(self.max_share_percent as f64 / 100.0)
    }
}
