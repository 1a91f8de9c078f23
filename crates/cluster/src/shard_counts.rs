//! Numbers of shards of services with numeric keys.

use config::Manifest;

use crate::Fleet;
use crate::plan_pins::service_members;

/// Smallest number of shards that is chosen for a service, and the number without a setting.
const MIN_SHARDS: u32 = 256;

/// Largest number of shards that is chosen for a service. Copies and snapshots of the fleet grow with it.
const MAX_SHARDS: u32 = 4_096;

impl Fleet {
    /// Completes a manifest for its record in the log: states the number of shards of each service with numeric keys.
    ///
    /// A service that the log holds keeps its number. The number of another one that states none is `shards_per_member` for
    /// each present member of the service, rounded up to a power of two from 256 to 4,096, or 256 for `None`. Busy keys are
    /// often neighbours, and more shards spread them over more members.
    pub fn state_shards(&self, manifest: &mut Manifest, shards_per_member: Option<u32>) {
        for (service, declared) in &mut manifest.plans.services {
            let Some(keys) = declared.numeric_keys else {
                continue;
            };
            match self.configuration.registered_shards(service) {
                Some(registered) => declared.shards = registered,
                None if declared.has_undecided_shards() => {
                    let members = service_members(self, service).count();
                    declared.shards = shards_for(members, shards_per_member, keys);
                }
                None => {}
            }
        }
    }
}

/// Returns the number of shards of a service with `keys` numeric keys. No shard is empty.
fn shards_for(members: usize, shards_per_member: Option<u32>, keys: u32) -> u32 {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let wanted = shards_per_member.map_or(MIN_SHARDS, |shards| shards.saturating_mul(members));
    let shards = wanted.clamp(MIN_SHARDS, MAX_SHARDS).next_power_of_two();
    let max_shards = keys.checked_ilog2().map_or(0, |bits| 1 << bits);
    shards.min(max_shards)
}
