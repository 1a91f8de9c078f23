//! Which decisions about requests a process makes.

use std::time::Duration;

use serde::Deserialize;

use crate::settings::SettingsError;
use crate::settings::range::check_range;

/// Which decisions about requests a process makes: those of the product, or plain baselines to compare them with.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// How an upstream of a service without keys is chosen.
    pub chooser: ChooserKind,
    /// Extra requests, by hedges and retries, for each hundred requests of callers. 0 turns both off.
    pub extra_requests_percent: u64,
    /// How many requests a home lets its upstream run at once.
    pub limit: LimitKind,
    /// Time within which a new load of a unit counts for 63% of its mean, in milliseconds.
    pub load_memory_ms: u64,
    /// Part of its fair share by which the load of a member may differ before units are moved, in percent; absent for a
    /// tenth above and a seventh below.
    pub load_tolerance_percent: Option<u64>,
    /// In which order requests are dispatched to an upstream.
    pub queue: QueueKind,
    /// How the rates of workspaces are enforced.
    pub rate: RateKind,
    /// Whether loads are weighed by the mean time of a request, so that slow upstreams own fewer units.
    pub weighs_request_time: bool,
    /// Latency that an upstream in another zone counts as having beyond its own, in milliseconds.
    pub zone_distance_ms: u64,
}

/// How an upstream of a service without keys is chosen.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum ChooserKind {
    /// By own requests in flight and their latency.
    Balanced,
    /// Each in turn.
    RoundRobin,
}

/// How many requests a home lets its upstream run at once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LimitKind {
    /// As many as the upstream has shown to bear.
    Adaptive,
    /// As many as the upstream has slots.
    Fixed,
}

/// In which order requests are dispatched to an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum QueueKind {
    /// By the weights of workspaces.
    Fair,
    /// In order of arrival.
    Fifo,
    /// By the ranks of workspaces and routes.
    Ranked,
}

/// How the rates of workspaces are enforced.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum RateKind {
    /// Every entry has an equal part of each rate.
    EvenSplit,
    /// Entries lease tokens from the owners of buckets.
    Leased,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            chooser: ChooserKind::Balanced,
            extra_requests_percent: 5,
            limit: LimitKind::Adaptive,
            load_memory_ms: 10_000,
            load_tolerance_percent: None,
            queue: QueueKind::Fair,
            rate: RateKind::Leased,
            weighs_request_time: false,
            zone_distance_ms: 3,
        }
    }
}

impl PolicySettings {
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        check_range(
            "policy.extra_requests_percent",
            self.extra_requests_percent,
            0,
            100,
        )?;
        check_range("policy.load_memory_ms", self.load_memory_ms, 100, 600_000)?;
        if let Some(percent) = self.load_tolerance_percent {
            check_range("policy.load_tolerance_percent", percent, 1, 90)?;
        }
        check_range("policy.zone_distance_ms", self.zone_distance_ms, 0, 10_000)
    }

    /// Returns the latency that an upstream in another zone counts as having beyond its own.
    pub fn zone_distance(&self) -> Duration {
        Duration::from_millis(self.zone_distance_ms)
    }

    /// Returns the time within which a new load of a unit counts for 63% of its mean.
    pub fn load_memory(&self) -> Duration {
        Duration::from_millis(self.load_memory_ms)
    }

    /// Returns the part of its fair share by which the load of a member may differ before units are moved.
    pub fn load_tolerance(&self) -> Option<f64> {
        let percent = u32::try_from(self.load_tolerance_percent?).ok()?;
        Some(f64::from(percent) / 100.0)
    }

    /// Returns the extra requests for each hundred requests of callers.
    pub fn extra_percent(&self) -> f64 {
        let percent = u32::try_from(self.extra_requests_percent).unwrap_or(u32::MAX);
        f64::from(percent)
    }
}
