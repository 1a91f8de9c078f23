//! Updates of the home from the reports of its upstream.

use std::time::Duration;

use ids::Unit;
use membership::UpstreamProcess;

use crate::home::Home;

impl Home {
    /// Records the remaining time for which the upstream reports that it is cold.
    pub(crate) fn record_cold_time(&self, process: &UpstreamProcess, left: Duration) {
        let until = self.shared.clock.now() + left;
        let mut state = self.lock();
        state.not_held.clear();
        let current = state.upstream.as_ref();
        let is_new = current.is_none_or(|current| current.announcement.process() != *process);
        if is_new {
            state.start_rate.restart(until);
        } else {
            state.start_rate.extend_cold_until(until);
        }
    }

    /// Records that the upstream does not hold a unit that it was granted.
    ///
    /// It gets no requests for the unit until its next report.
    pub(crate) fn record_not_held(&self, unit: Unit) {
        self.lock().not_held.insert(unit);
    }

    /// Records that a process of the upstream said at `since` that it is about to stop, or has stopped.
    ///
    /// It gets requests for the drain time, in which its units move to other members.
    pub(crate) fn record_stopping(&self, process: UpstreamProcess, since: Duration) {
        let until = since + self.shared.limits.drain();
        self.lock().record_stopping(process, until);
    }

    /// Reports whether a process of the upstream has said that it is about to stop, in a check-in or in an answer.
    pub(crate) fn is_stopping(&self, process: &UpstreamProcess) -> bool {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        state.apply_answer_reports(now, self.shared.limits.drain());
        state.is_stopping(process)
    }
}
