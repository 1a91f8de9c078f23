//! Pauses between reads of the log.

use std::time::Duration;

/// Longest pause after a read with records. Losses of members and new configurations have to be read soon.
const MAX_READ_PAUSE: Duration = Duration::from_secs(1);

/// Time after its start in which a process pauses for the shortest time. After a restart of all processes each step on the
/// way to service takes a read: the join, the leases, the configuration.
const SETTLING_TIME: Duration = Duration::from_secs(10);

/// Decides how long a process pauses after a read of the log that returned records.
///
/// Load pattern: each record wakes every member, so that reads grow with the product of members and records. With pauses
/// that grow with the fleet, records that are appended within a pause are read together, and the reads of all members
/// together stay at a constant rate up to the longest pause. A record that follows a quiet time is read at once. While the log
/// lacks what operators have declared, pauses are short: members publish it in turns until they have read it, and a large
/// declaration that is published several times costs more than the reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadPacing {
    /// Reads per second of all members together above which pauses are longer than the shortest one, or 0 for no limit.
    pub fleet_reads_per_second: u32,
    /// Shortest pause after a read with records.
    pub min_pause: Duration,
}

impl ReadPacing {
    /// Returns the pause of a process that has run for `uptime` in a fleet of `members`. `lacks_declarations` tells whether the
    /// log lacks what operators have declared.
    pub fn pause(&self, members: usize, uptime: Duration, lacks_declarations: bool) -> Duration {
        let is_unpaced = self.fleet_reads_per_second == 0;
        if is_unpaced || uptime < SETTLING_TIME || lacks_declarations {
            return self.min_pause;
        }
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let pause = Duration::from_secs(1).saturating_mul(members) / self.fleet_reads_per_second;
        pause.min(MAX_READ_PAUSE).max(self.min_pause)
    }
}
