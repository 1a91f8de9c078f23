//! Capacity of the local upstream, and what its answers state about it.

use std::sync::Arc;
use std::time::Duration;

use ids::Fence;
use ids::RequestId;
use ids::Unit;
use membership::UpstreamProcess;
use policy::CostKey;
use policy::QueuedRequest;
use policy::limited_capacity;

use crate::home::home_state::HomeState;
use crate::home::waiting_request::WaitingRequest;

/// Maximum number of requests that run before the first answer, which states whether the upstream limits their rate.
const MAX_REQUESTS_WITHOUT_ANSWER: u32 = 4;

impl HomeState {
    /// Applies what answers have stated about the upstream.
    pub(crate) fn apply_answer_reports(&mut self, now: Duration, drain_time: Duration) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        let reports = Arc::clone(&upstream.reports);
        if let Some(since) = reports.leaving_since() {
            let process = upstream.announcement.process();
            self.record_stopping(process, since + drain_time);
        }
        let rate = reports.requests_per_second();
        if rate != self.start_rate.stated_rate() {
            self.start_rate.set_stated_rate(now, rate);
        }
        if let Some(costs) = &mut self.costs {
            costs.set_stated_speed(reports.stated_speed());
        }
        for _ in 0..reports.take_extra_requests() {
            self.start_rate.record_sent(now);
        }
    }

    /// Returns the number of requests that may run at once.
    fn concurrency_limit(&self, now: Duration) -> u32 {
        let limit = self.limiter.limit(now);
        let upstream = self.upstream.as_ref();
        match upstream.is_some_and(|upstream| upstream.reports.is_rate_unknown()) {
            true => limit.min(MAX_REQUESTS_WITHOUT_ANSWER),
            false => limit,
        }
    }

    /// Returns the number of slots that can be used at the rate that the upstream states.
    pub(crate) fn limited_capacity(&self, now: Duration) -> Option<f64> {
        let upstream = self.upstream.as_ref()?;
        Some(limited_capacity(
            self.start_rate.stated_rate()?,
            self.service_times.mean()?,
            upstream.announcement.slots,
            now.saturating_sub(upstream.reports.last_answer()),
        ))
    }

    /// Records the expected cost of a request that has arrived.
    pub(crate) fn record_arrival(
        &mut self,
        id: &RequestId,
        key: &CostKey,
        grant: &Option<(Unit, Fence)>,
    ) {
        let Some(costs) = &mut self.costs else {
            return;
        };
        let cost = costs.add(id.clone(), key);
        if let Some((unit, _)) = grant {
            self.units.record_arrival(unit, cost.mean);
        }
    }

    /// Returns the capacity by which units are distributed, or `None` if it is the number of slots.
    pub(crate) fn unit_capacity(&mut self, now: Duration) -> Option<f64> {
        let limited = self.limited_capacity(now);
        let (Some(costs), Some(upstream)) = (&mut self.costs, &self.upstream) else {
            return limited;
        };
        let capacity = costs.capacity(now, upstream.announcement.slots);
        Some(limited.map_or(capacity, |limited| limited.min(capacity)))
    }

    /// Returns the rate per slot at which the upstream may start requests while it is cold, or `None` if it is not.
    pub(crate) fn cold_rate_per_slot(&self, now: Duration) -> Option<f64> {
        let rate = self.start_rate.cold_rate(now)?;
        let slots = self.upstream.as_ref()?.announcement.slots;
        Some(f64::from(rate) / f64::from(slots.max(1)))
    }

    /// Counts a request that is refused because the upstream limits the rate of requests as load of its unit. The units of such
    /// an upstream would otherwise seem to have no more load than it accepts.
    pub(crate) fn record_refused(&mut self, waiting: &WaitingRequest) {
        let busy = self.service_times.mean().unwrap_or_default();
        if let (Some(_), Some((unit, _))) = (self.start_rate.stated_rate(), &waiting.grant) {
            self.units.record_refused(unit, busy);
        }
    }

    /// Reports whether another request may start now.
    pub(crate) fn has_capacity(&self, now: Duration) -> bool {
        self.limiter.in_flight() < self.concurrency_limit(now) && self.start_rate.allows(now)
    }

    fn count_ahead(&self, queued: &QueuedRequest<WaitingRequest>) -> usize {
        self.queue.count_ahead(queued.rank, queued.class) + usize::from(self.blocked.is_some())
    }

    /// Returns how long a request would wait for the rate that the upstream states, or `None` if it states none or the request
    /// would not wait for it.
    pub(crate) fn rate_limit_delay(
        &self,
        now: Duration,
        queued: &QueuedRequest<WaitingRequest>,
    ) -> Option<Duration> {
        self.start_rate.stated_rate()?;
        let delay = self.start_rate.delay(now, self.count_ahead(queued));
        Some(delay).filter(|delay| !delay.is_zero())
    }

    /// Returns the time until which a request may wait in the queue, or `None` if it would start too late.
    pub(crate) fn wait_until(
        &self,
        now: Duration,
        queued: &QueuedRequest<WaitingRequest>,
    ) -> Option<Duration> {
        let waiting = self.count_ahead(queued);
        let slots = self.concurrency_limit(now);
        let ahead = waiting + usize::from(self.limiter.in_flight() >= slots);
        let delay = self.start_rate.delay(now, waiting);
        let (target, left) = (queued.item.target_latency, queued.item.target_left);
        let is_delayed = !delay.is_zero() || (ahead > 0 && !target.is_zero());
        if queued.item.is_hedge && is_delayed {
            return None;
        }
        let times = &self.service_times;
        let until = if queued.class.is_call() {
            times.call_wait_deadline(now, target, queued.deadline, ahead, slots)?
        } else if target.is_zero() {
            queued.deadline
        } else {
            let until = times.wait_deadline(now, target, left, ahead, slots)?;
            until.min(queued.deadline)
        };
        (delay.is_zero() || now + delay < until).then_some(until)
    }

    /// Reports whether a process of the upstream is about to stop.
    pub(crate) fn is_stopping(&self, process: &UpstreamProcess) -> bool {
        self.stopping.contains_key(process)
    }

    /// Reports whether the upstream is stopping and its drain time is over, so that it gets no more requests.
    pub(crate) fn is_drain_time_over(&self, now: Duration) -> bool {
        let Some(upstream) = &self.upstream else {
            return false;
        };
        let until = self.stopping.get(&upstream.announcement.process());
        until.is_some_and(|until| now >= *until)
    }

    /// Records that a process of the upstream is about to stop, and gets requests until `until` at most. A later time changes
    /// nothing.
    pub(crate) fn record_stopping(&mut self, process: UpstreamProcess, until: Duration) {
        self.stopping.entry(process).or_insert(until);
    }
}
