//! Work of one upstream as an entry knows it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::HomeWork;
use crate::MAX_SPEED;
use crate::MIN_SPEED;
use crate::Ticket;

/// Age from which a report of a home is ignored.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Time by which a request that was sent before a report arrived may have missed it.
const TRANSIT_TIME: Duration = Duration::from_millis(2);

/// Time constant of the mean of the reported work.
const USUAL_WORK_TIME: Duration = Duration::from_millis(2000);

/// Part of the mean of the reported work that is kept at most when another report arrives.
const MAX_KEPT: f64 = 0.9;

/// Weight of the newest observation in the relative speed.
const SPEED_GAIN: f64 = 0.2;

/// Work of one upstream as an entry knows it: the last report of its home, and the requests that the entry has sent since.
#[derive(Clone, Debug)]
pub(crate) struct HomeView {
    /// Costs of the requests in flight of this entry, with the times at which they were sent.
    in_flight: BTreeMap<Ticket, (Duration, Duration)>,
    /// Ratio of the costs that other homes expect to those that this one expects of the same requests.
    relative_speed: f64,
    report: Option<(Duration, HomeWork)>,
    /// Mean of the reported work.
    usual_work: Duration,
}

impl Default for HomeView {
    fn default() -> Self {
        Self {
            in_flight: BTreeMap::new(),
            relative_speed: 1.0,
            report: None,
            usual_work: Duration::ZERO,
        }
    }
}

impl HomeView {
    pub(crate) fn record_start(&mut self, now: Duration, ticket: Ticket, cost: Duration) {
        self.in_flight.insert(ticket, (now, cost));
    }

    pub(crate) fn record_end(&mut self, ticket: Ticket) {
        self.in_flight.remove(&ticket);
    }

    /// Records a report. `usual_cost` is what homes expect of the request that the report replies to, on average.
    pub(crate) fn record_report(&mut self, now: Duration, work: HomeWork, usual_cost: Duration) {
        if let Some(cost) = work.cost.filter(|cost| !cost.is_zero()) {
            let ratio = usual_cost.as_secs_f64() / cost.as_secs_f64();
            self.relative_speed += SPEED_GAIN * (ratio - self.relative_speed);
            self.relative_speed = self.relative_speed.clamp(MIN_SPEED, MAX_SPEED);
        }
        let usual = match self.report {
            Some((at, _)) => {
                let elapsed = now.saturating_sub(at).as_secs_f64();
                let kept = (-elapsed / USUAL_WORK_TIME.as_secs_f64())
                    .exp()
                    .min(MAX_KEPT);
                self.usual_work.mul_f64(kept) + work.remaining.mul_f64(1.0 - kept)
            }
            None => work.remaining,
        };
        self.usual_work = usual;
        self.report = Some((now, work));
    }

    fn fresh_report(&self, now: Duration) -> Option<(Duration, HomeWork)> {
        let report = self.report?;
        (now < report.0 + REPORT_LIFETIME).then_some(report)
    }

    pub(crate) fn speed(&self, now: Duration) -> f64 {
        let report = self.fresh_report(now);
        let stated = report.map_or(1.0, |(_, work)| work.speed);
        (stated * self.relative_speed).clamp(MIN_SPEED, MAX_SPEED)
    }

    /// Returns the work that the home probably has, by its reports, or `None` without a recent one. It goes from the last report to
    /// the mean of the reports at the speed of all slots: an entry hears of a home a few times per second, and other entries
    /// send work meanwhile.
    pub(crate) fn reported_work(&self, now: Duration, slots: u32) -> Option<Duration> {
        let (at, work) = self.fresh_report(now)?;
        let rate = f64::from(slots.max(1)) * self.speed(now);
        let change = now.saturating_sub(at).mul_f64(rate);
        Some(match work.remaining > self.usual_work {
            true => work.remaining.saturating_sub(change).max(self.usual_work),
            false => (work.remaining + change).min(self.usual_work),
        })
    }

    /// Returns the age of the oldest request in flight.
    pub(crate) fn oldest_age(&self, now: Duration) -> Duration {
        let oldest = self.in_flight.values().map(|(sent_at, _)| *sent_at).min();
        oldest.map_or(Duration::ZERO, |oldest| now.saturating_sub(oldest))
    }

    /// Returns the costs of the requests of this entry that the last report does not include.
    pub(crate) fn unreported_work(&self, now: Duration) -> Duration {
        let reported_at = self.fresh_report(now).map(|(at, _)| at);
        let in_flight = self.in_flight.values();
        let unreported = in_flight
            .filter(|(sent_at, _)| reported_at.is_none_or(|at| *sent_at + TRANSIT_TIME > at));
        unreported.map(|(_, cost)| *cost).sum()
    }
}
