//! Settings of the policies that decide about requests.

use std::time::Duration;

use serde::Deserialize;

use crate::settings::SettingsError;
use crate::settings::range::check_range;

/// Settings of the policies that decide about requests. Some can be replaced by simple baselines, for comparison.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// Policy that chooses an upstream of a service without keys.
    pub chooser: ChooserKind,
    /// Maximum number of extra requests (hedges and retries) for each hundred requests of callers. 0 turns both off.
    pub extra_requests_percent: u64,
    /// Policy that limits how many requests a home's upstream runs concurrently.
    pub limit: LimitKind,
    /// Time constant of the moving average of a unit's load, in milliseconds. After this time, a new load accounts for
    /// 63% of the average.
    pub load_memory_ms: u64,
    /// Part of its fair share by which the load of a member may differ before units are moved, in percent. If absent,
    /// it is a tenth above and a seventh below.
    pub load_tolerance_percent: Option<u64>,
    /// Order in which requests are dispatched to an upstream.
    pub queue: QueueKind,
    /// Method that enforces the rates of workspaces.
    pub rate: RateKind,
    /// Number of shards for each member of a service with numeric keys, from which its number of shards follows when its
    /// first manifest is published. If absent, it has 256.
    pub shards_per_member: Option<u32>,
    /// Whether loads are weighted by the mean duration of a request, so that slow upstreams own fewer units.
    pub weighs_request_time: bool,
    /// Latency added to that of an upstream in another zone when upstreams are compared, in milliseconds.
    pub zone_distance_ms: u64,
}

/// Policy that chooses an upstream of a service without keys.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum ChooserKind {
    /// Compares upstreams by the requests that this process has in flight to them, and by their latency.
    Balanced,
    /// Compares upstreams by the time at which they are expected to have completed a request, from learned costs, speeds and
    /// remaining work.
    ExpectedCompletion,
    /// Chooses each upstream in turn.
    RoundRobin,
}

/// Policy that limits how many requests a home's upstream runs concurrently.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LimitKind {
    /// Adapts the limit to the concurrency that the upstream has handled without overload.
    Adaptive,
    /// Uses the number of slots of the upstream.
    Fixed,
}

/// Order in which requests are dispatched to an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum QueueKind {
    /// Weighted fair order, by the weights of workspaces.
    Fair,
    /// In order of arrival.
    Fifo,
    /// By the ranks of workspaces and routes.
    Ranked,
}

/// Method that enforces the rates of workspaces.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum RateKind {
    /// Every entry gets an equal share of each rate.
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
            shards_per_member: None,
            weighs_request_time: false,
            zone_distance_ms: 3,
        }
    }
}

impl PolicySettings {
    /// Reports whether requests and units are placed by the learned costs of requests.
    pub(crate) fn places_by_cost(&self) -> bool {
        self.chooser == ChooserKind::ExpectedCompletion
    }

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
        if let Some(shards) = self.shards_per_member {
            check_range("policy.shards_per_member", u64::from(shards), 1, 1_000)?;
        }
        check_range("policy.zone_distance_ms", self.zone_distance_ms, 0, 10_000)
    }

    /// Returns the latency added to that of an upstream in another zone when upstreams are compared.
    pub fn zone_distance(&self) -> Duration {
        Duration::from_millis(self.zone_distance_ms)
    }

    /// Returns the time constant of the moving average of a unit's load.
    pub fn load_memory(&self) -> Duration {
        Duration::from_millis(self.load_memory_ms)
    }

    /// Returns the fraction of its fair share by which the load of a member may differ before units are moved.
    pub fn load_tolerance(&self) -> Option<f64> {
        let percent = u32::try_from(self.load_tolerance_percent?).ok()?;
        Some(f64::from(percent) / 100.0)
    }

    /// Returns the maximum number of extra requests for each hundred requests of callers.
    pub fn extra_percent(&self) -> f64 {
        let percent = u32::try_from(self.extra_requests_percent).unwrap_or(u32::MAX);
        f64::from(percent)
    }
}
