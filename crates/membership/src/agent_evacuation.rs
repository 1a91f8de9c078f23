//! The time from which nothing is started in an availability zone that was taken out of service.

use std::time::Duration;

use crate::Agent;
use crate::times::EVACUATION_MARGIN;

impl Agent {
    /// Updates the time until which requests may be started in the zone of this process.
    pub(crate) fn update_evacuation(&mut self, now: Duration) {
        let zones = self.pending_zones(now);
        if !zones.is_zone_out(self.log.fleet(), &self.cfg.zone) {
            self.starts_until = None;
        } else if self.starts_until.is_none() {
            let time = self.cfg.evacuation_timeout;
            let time = time.saturating_sub(EVACUATION_MARGIN);
            let since = self.earliest_evacuation();
            self.starts_until = Some(since.map_or(Duration::ZERO, |since| since + time));
        }
    }

    /// Returns the earliest time at which operators may have taken the zone of this process out of service, or `None` if that is
    /// not known.
    fn earliest_evacuation(&self) -> Option<Duration> {
        let is_declared = self.declarations.zones_out.contains(&self.cfg.zone);
        let changes_since = self.declaration_reads.changes_since();
        match self.declaration_reads.completed() {
            Some(_) if is_declared => changes_since,
            // The declaration is newer than those that this process has read, unless these are the first, which may still have
            // to be passed on.
            Some(completed) => changes_since.and(Some(completed)),
            None => self.log_reads.changes_since(),
        }
    }

    /// Returns the time from which no request may be started on the upstream, since its zone is out of service, or `None` while
    /// the zone is in service.
    pub fn starts_until(&self) -> Option<Duration> {
        self.starts_until
    }
}
