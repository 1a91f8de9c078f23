//! Maintenance of the queue of the home.

use std::sync::Arc;
use std::time::Duration;

use policy::Reason;

use crate::home::Home;
use crate::home::request_starter::refuse;
use crate::home::request_starter::refuse_expired;

/// Time between two checks of the queue while requests wait.
const TICK: Duration = Duration::from_millis(20);

/// Time between two checks of the queue while it is empty.
const IDLE_TICK: Duration = Duration::from_millis(100);

impl Home {
    /// Expires and starts waiting requests, and applies changes of the view, until the process ends.
    pub(crate) async fn maintain_queue(self: Arc<Self>) {
        loop {
            let (is_empty, pause) = self.maintenance_pause();
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.queued.notified(), if is_empty => continue,
            }
            let now = self.shared.clock.now();
            let view = self.shared.view();
            let mut state = self.lock();
            state.apply_fleet_changes(&view);
            if state.update_served_units(now, &view, &self.handovers) {
                for queued in state.take_ungranted(&view) {
                    refuse(queued, Reason::NotOwner);
                }
            }
            if !view.is_zone_open(now) {
                for queued in state.queue.take_matching(&|_| true) {
                    refuse(queued, Reason::ZoneOut);
                }
            }
            if !view.is_version_open(now) {
                for queued in state.queue.take_matching(&|_| true) {
                    refuse(queued, Reason::Stopping);
                }
            }
            state.tick(now);
            for queued in state.queue.take_expired(now) {
                refuse_expired(now, queued);
            }
            self.report_drained(&mut state);
            self.start_requests(&mut state);
        }
    }

    /// Reports whether the queue is empty, and returns the time until its next check. A request that waits for the rate limit
    /// of the upstream starts as soon as the limit allows.
    fn maintenance_pause(&self) -> (bool, Duration) {
        let state = self.lock();
        if state.queue.is_empty() {
            return (true, IDLE_TICK);
        }
        let delay = state.start_rate.delay(self.shared.clock.now(), 0);
        match delay.is_zero() {
            true => (false, TICK),
            false => (false, delay.min(TICK)),
        }
    }

    /// Waits until no request waits or runs.
    pub(crate) async fn wait_until_idle(&self) {
        while self.count_requests() != (0, 0) {
            tokio::time::sleep(TICK).await;
        }
    }
}
