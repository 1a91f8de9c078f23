//! What runs on each unit, and how much of the upstream it takes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ids::Fence;
use ids::Unit;

use crate::home::Loads;
use crate::home::hot_keys::HotKeys;
use crate::home::moving_mean::MovingMean;

/// Part that the newest request has in the mean time of a request.
const REQUEST_TIME_WEIGHT: f64 = 0.02;

/// Time of a request at which its load counts as measured, in seconds.
const REFERENCE_TIME_SECONDS: f64 = 0.1;

/// What runs on each unit, and how much of the upstream it takes.
#[derive(Debug)]
pub(crate) struct UnitTracker {
    busy_times: BTreeMap<Unit, Duration>,
    interval_start: Duration,
    draining: BTreeSet<Unit>,
    hot_keys: HotKeys,
    fences: BTreeMap<Unit, Fence>,
    loads: BTreeMap<Unit, MovingMean>,
    /// Time within which a new load counts for 63% of the mean.
    time_constant: Duration,
    /// Whether loads are weighed by the time of a request, so that slow upstreams get fewer units.
    weighs_request_time: bool,
    running: BTreeMap<Unit, usize>,
    /// Mean time of a request with its wait, in seconds, `None` before the first.
    request_time: Option<f64>,
}

impl UnitTracker {
    pub(crate) fn new(time_constant: Duration, weighs_request_time: bool) -> Self {
        Self {
            busy_times: BTreeMap::new(),
            interval_start: Duration::ZERO,
            draining: BTreeSet::new(),
            hot_keys: HotKeys::default(),
            fences: BTreeMap::new(),
            loads: BTreeMap::new(),
            time_constant,
            weighs_request_time,
            request_time: None,
            running: BTreeMap::new(),
        }
    }

    /// Counts the start of a request.
    pub(crate) fn record_start(&mut self, unit: &Unit) {
        *self.running.entry(unit.clone()).or_default() += 1;
    }

    /// Counts the end of a request that took `busy`.
    pub(crate) fn record_end(&mut self, unit: &Unit, key: Option<&str>, busy: Duration) {
        if let Some(count) = self.running.get_mut(unit) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(unit);
            }
        }
        *self.busy_times.entry(unit.clone()).or_default() += busy;
        let time = busy.as_secs_f64();
        let mean = self.request_time.unwrap_or(time);
        self.request_time = Some(mean + (time - mean) * REQUEST_TIME_WEIGHT);
        if let Some(key) = key {
            self.hot_keys.add(key, busy);
        }
    }

    /// Takes in what ended since the last call, and returns the loads of the units `owned`.
    pub(crate) fn update_loads(&mut self, now: Duration, owned: &BTreeSet<Unit>) -> Loads {
        let elapsed = now.saturating_sub(self.interval_start);
        self.interval_start = now;
        let busy = std::mem::take(&mut self.busy_times);
        self.loads.retain(|unit, _| owned.contains(unit));
        for unit in owned {
            let busy = busy.get(unit).copied().unwrap_or_default();
            let mean = self.loads.entry(unit.clone()).or_default();
            mean.add(busy, elapsed, self.time_constant);
        }
        let keys = self.hot_keys.end_interval(elapsed, self.time_constant);
        let units = self.loads.iter();
        let slowness = match self.request_time {
            Some(time) if self.weighs_request_time => time / REFERENCE_TIME_SECONDS,
            _ => 1.0,
        };
        let units = units
            .map(|(unit, mean)| {
                (
                    unit.clone(),
                    unit_load(unit, mean.value() * slowness, &keys),
                )
            })
            .collect();
        Loads { keys, units }
    }

    /// Begins to drain units.
    pub(crate) fn drain(&mut self, units: BTreeSet<Unit>) {
        self.draining.extend(units);
    }

    /// Takes back a drain.
    pub(crate) fn undrain(&mut self, units: &BTreeSet<Unit>) {
        self.draining.retain(|unit| !units.contains(unit));
    }

    /// Takes out the units that are drained and on which nothing runs, apart from those in `busy`.
    pub(crate) fn take_drained(&mut self, busy: &BTreeSet<Unit>) -> BTreeSet<Unit> {
        let running = &self.running;
        let (still_busy, drained): (BTreeSet<_>, BTreeSet<_>) = std::mem::take(&mut self.draining)
            .into_iter()
            .partition(|unit| running.contains_key(unit) || busy.contains(unit));
        self.draining = still_busy;
        drained
    }

    /// Notes the fence under which a unit is served, and tells whether it is a new one.
    pub(crate) fn record_fence(&mut self, unit: &Unit, fence: Fence) -> bool {
        self.fences.insert(unit.clone(), fence) != Some(fence)
    }
}

/// Returns the load of a unit. A key that was pinned a moment ago keeps the load that it had in its shard.
fn unit_load(unit: &Unit, measured: f64, keys: &BTreeMap<String, f64>) -> f64 {
    let before = match unit {
        Unit::Pinned { key, .. } => keys.get(key).copied(),
        _ => None,
    };
    before.map_or(measured, |before| before.max(measured))
}
