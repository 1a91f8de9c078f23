//! Service that upstreams provide.

use serde::Deserialize;
use serde::Serialize;

use crate::ColdStart;
use crate::DocumentError;
use crate::KeyRange;
use crate::Route;

/// Largest number of shards of a service.
pub const MAX_SHARDS: u32 = 65_536;

/// Service provided by upstreams of one kind, with its routes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Load that an upstream can handle while it is cold, absent if it can handle its full load at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_start: Option<ColdStart>,
    /// Connections that each upstream accepts, absent when upstreams announce that themselves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections: Option<u32>,
    /// Path of the upstreams' health check, absent for the path of this product's own upstream interface.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
    /// Number of keys, if the keys are the numbers from 0 on. A shard is then a range of consecutive keys instead of
    /// the keys that hash to one index.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub numeric_keys: Option<u32>,
    /// Routes; the one with the longest matching prefix applies.
    pub routes: Vec<Route>,
    /// Number of shards that keys are divided into, or 0 for a service without keys.
    ///
    /// It can't change once the service has been published. A manifest of operators may declare 0 for a service with numeric
    /// keys. The number is then decided when the manifest is published in the log.
    pub shards: u32,
}

impl Service {
    /// Reports whether the keys of the service have owners.
    pub fn is_keyed(&self) -> bool {
        self.shards > 0 || self.numeric_keys.is_some()
    }

    /// Reports whether the service has numeric keys whose number of shards is not decided yet. Its keys belong to no shard.
    pub fn has_undecided_shards(&self) -> bool {
        self.shards == 0 && self.numeric_keys.is_some()
    }

    /// Reports whether a key may belong to the service: any key unless keys are numeric.
    pub fn accepts_key(&self, key: &str) -> bool {
        self.numeric_keys.is_none() || self.numeric_key(key).is_some()
    }

    fn numeric_key(&self, key: &str) -> Option<u32> {
        let keys = self.numeric_keys?;
        key.parse::<u32>().ok().filter(|number| *number < keys)
    }

    /// Returns the shard of a numeric key, or `None` for any other key and while the number of shards is not decided.
    pub fn shard_of_numeric_key(&self, key: &str) -> Option<u32> {
        let keys = self.numeric_keys.filter(|_| self.shards > 0)?;
        let number = self.numeric_key(key)?;
        let shard = u64::from(number) * u64::from(self.shards) / u64::from(keys);
        u32::try_from(shard).ok()
    }

    /// Returns the range of keys of a shard, or `None` if keys are not numeric or the number of shards is not decided.
    pub fn range_of_shard(&self, shard: u32) -> Option<KeyRange> {
        let keys = u64::from(self.numeric_keys.filter(|_| self.shards > 0)?);
        let shards = u64::from(self.shards);
        let start = |index: u64| u32::try_from((index * keys).div_ceil(shards)).ok();
        Some(KeyRange {
            first: start(u64::from(shard))?,
            last: start(u64::from(shard) + 1)?.checked_sub(1)?,
        })
    }

    /// Returns the route with the longest prefix of `path` that accepts `method`.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.matches(method, path))
            .max_by_key(|route| route.prefix.len())
    }

    pub(crate) fn check(&self, path: &str) -> Result<(), DocumentError> {
        self.check_shards(&format!("{path}.shards"))?;
        if self.numeric_keys.is_some_and(|keys| keys < self.shards) {
            return Err(DocumentError::value(
                format!("{path}.numeric_keys"),
                "there are fewer keys than shards",
                "declare fewer shards",
            ));
        }
        for (index, route) in self.routes.iter().enumerate() {
            let path = format!("{path}.routes[{index}]");
            route.check(&path)?;
            self.check_distinct(&path, index)?;
        }
        Ok(())
    }

    fn check_shards(&self, path: &str) -> Result<(), DocumentError> {
        if self.shards == 0 || (self.shards.is_power_of_two() && self.shards <= MAX_SHARDS) {
            return Ok(());
        }
        Err(DocumentError::value(
            path,
            format!("{} is not a valid number of shards", self.shards),
            format!("choose a power of two up to {MAX_SHARDS}, or 0 for a service without keys"),
        ))
    }

    fn check_distinct(&self, path: &str, index: usize) -> Result<(), DocumentError> {
        let route = &self.routes[index];
        let earlier = self.routes[..index]
            .iter()
            .position(|other| other.prefix == route.prefix && !other.is_disjoint(route));
        match earlier {
            None => Ok(()),
            Some(other) => Err(DocumentError::value(
                path,
                format!("routes[{other}] has the same prefix and a method in common"),
                "keep one of them",
            )),
        }
    }
}
