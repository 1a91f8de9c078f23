//! What the home takes in of the reports of its upstream.

use std::time::Duration;

use ids::Unit;

use crate::home::Home;

impl Home {
    /// Takes in for how long the upstream says that it stays cold.
    pub(crate) fn report_cold(&self, instance: &str, left: Duration) {
        let until = self.shared.clock.now() + left;
        let mut state = self.lock();
        state.not_held.clear();
        let present = state.upstream.as_ref();
        let is_new = present.is_none_or(|present| present.announcement.instance != instance);
        if is_new {
            state.cold.restart(until);
        } else {
            state.cold.extend_cold_until(until);
        }
    }

    /// Takes in that the upstream does not hold a unit that it was granted. It gets no requests on it until it reports.
    pub(crate) fn report_not_held(&self, unit: Unit) {
        self.lock().not_held.insert(unit);
    }

    /// Takes in that a life of the upstream is about to stop, or has stopped. It gets requests for some more time, in
    /// which its units pass to other members.
    pub(crate) fn report_leaving(&self, instance: &str) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let present = state.leaving.as_ref();
        if present.is_none_or(|(life, _)| life != instance) {
            let until = now + self.shared.limits.drain();
            state.leaving = Some((instance.to_owned(), until));
        }
    }
}
