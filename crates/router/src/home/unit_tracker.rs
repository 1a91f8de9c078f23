//! Tracking of running requests and load by unit.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ids::Fence;
use ids::Unit;

use crate::home::Loads;
use crate::home::hot_keys::HotKeys;
use crate::home::moving_mean::MovingMean;

/// Weight of the newest request in the mean request time.
const REQUEST_TIME_WEIGHT: f64 = 0.02;

/// Mean request time at which the weighting leaves loads unchanged, in seconds.
const REFERENCE_TIME_SECONDS: f64 = 0.1;

/// Tracks the running requests of each unit, and its load on the upstream.
#[derive(Debug)]
pub(crate) struct UnitTracker {
    /// Busy time of each unit in the current interval.
    busy_times: BTreeMap<Unit, Duration>,
    interval_start: Duration,
    draining: BTreeSet<Unit>,
    /// Whether loads are the expected costs of the requests that arrive, instead of the times that they took.
    expects_costs: bool,
    hot_keys: HotKeys,
    /// Last fence under which each unit was served.
    fences: BTreeMap<Unit, Fence>,
    loads: BTreeMap<Unit, MovingMean>,
    /// Time after which a new load makes up 63% of the mean.
    time_constant: Duration,
    /// Whether loads are weighted by the mean request time, so that slow upstreams get fewer units.
    weighs_request_time: bool,
    running: BTreeMap<Unit, usize>,
    /// Mean time of a request including its wait, in seconds; `None` before the first.
    request_time: Option<f64>,
}

impl UnitTracker {
    pub(crate) fn new(
        time_constant: Duration,
        weighs_request_time: bool,
        expects_costs: bool,
    ) -> Self {
        Self {
            busy_times: BTreeMap::new(),
            interval_start: Duration::ZERO,
            draining: BTreeSet::new(),
            expects_costs,
            hot_keys: HotKeys::default(),
            fences: BTreeMap::new(),
            loads: BTreeMap::new(),
            time_constant,
            weighs_request_time: weighs_request_time && !expects_costs,
            request_time: None,
            running: BTreeMap::new(),
        }
    }

    /// Records the arrival of a request with its expected cost, if loads are expected costs.
    pub(crate) fn record_arrival(&mut self, unit: &Unit, cost: Duration) {
        if self.expects_costs {
            *self.busy_times.entry(unit.clone()).or_default() += cost;
        }
    }

    /// Records the start of a request.
    pub(crate) fn record_start(&mut self, unit: &Unit) {
        *self.running.entry(unit.clone()).or_default() += 1;
    }

    /// Records the end of a request that took `busy`.
    pub(crate) fn record_end(&mut self, unit: &Unit, key: Option<&str>, busy: Duration) {
        if let Some(count) = self.running.get_mut(unit) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(unit);
            }
        }
        if !self.expects_costs {
            *self.busy_times.entry(unit.clone()).or_default() += busy;
        }
        let time = busy.as_secs_f64();
        let mean = self.request_time.unwrap_or(time);
        self.request_time = Some(mean + (time - mean) * REQUEST_TIME_WEIGHT);
        if let Some(key) = key {
            self.hot_keys.add(key, busy);
        }
    }

    /// Records a request that was refused for lack of capacity and would have taken `busy`.
    pub(crate) fn record_refused(&mut self, unit: &Unit, busy: Duration) {
        if !self.expects_costs {
            *self.busy_times.entry(unit.clone()).or_default() += busy;
        }
    }

    /// Ends a measurement interval, and returns the loads of the units `owned`.
    pub(crate) fn update_loads(
        &mut self,
        now: Duration,
        owned: &BTreeSet<Unit>,
        capacity: Option<f64>,
    ) -> Loads {
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
        Loads {
            capacity,
            keys,
            units,
        }
    }

    /// Begins to drain units.
    pub(crate) fn drain(&mut self, units: BTreeSet<Unit>) {
        self.draining.extend(units);
    }

    /// Cancels the drain of units.
    pub(crate) fn undrain(&mut self, units: &BTreeSet<Unit>) {
        self.draining.retain(|unit| !units.contains(unit));
    }

    /// Removes and returns the draining units on which nothing runs and that are not in `busy`.
    pub(crate) fn take_drained(&mut self, busy: &BTreeSet<Unit>) -> BTreeSet<Unit> {
        let running = &self.running;
        let (still_busy, drained): (BTreeSet<_>, BTreeSet<_>) = std::mem::take(&mut self.draining)
            .into_iter()
            .partition(|unit| running.contains_key(unit) || busy.contains(unit));
        self.draining = still_busy;
        drained
    }

    /// Records the fence under which a unit is served, and reports whether it is new.
    pub(crate) fn record_fence(&mut self, unit: &Unit, fence: Fence) -> bool {
        self.fences.insert(unit.clone(), fence) != Some(fence)
    }
}

/// Returns the load of a unit. A recently pinned key keeps the load that it had in its shard.
fn unit_load(unit: &Unit, measured: f64, keys: &BTreeMap<String, f64>) -> f64 {
    let before = match unit {
        Unit::Pinned { key, .. } => keys.get(key).copied(),
        _ => None,
    };
    before.map_or(measured, |before| before.max(measured))
}
