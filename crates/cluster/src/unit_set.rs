//! Compact serialized form of many units.

use std::collections::BTreeMap;

use ids::ServiceId;
use ids::Unit;
use ids::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

/// Units grouped by workspace or service, so that each name is written once.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(crate) struct UnitSet {
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    buckets: BTreeMap<WorkspaceId, Vec<u32>>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pins: BTreeMap<ServiceId, Vec<String>>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    shards: BTreeMap<ServiceId, Vec<u32>>,
}

impl UnitSet {
    pub(crate) fn insert(&mut self, unit: &Unit) {
        match unit.clone() {
            Unit::Bucket { workspace, index } => {
                self.buckets.entry(workspace).or_default().push(index);
            }
            Unit::Pinned { service, key } => self.pins.entry(service).or_default().push(key),
            Unit::Shard { service, index } => self.shards.entry(service).or_default().push(index),
        }
    }

    pub(crate) fn into_units(self) -> impl Iterator<Item = Unit> {
        let buckets = flatten_groups(self.buckets)
            .map(|(workspace, index)| Unit::Bucket { workspace, index });
        let pins = flatten_groups(self.pins).map(|(service, key)| Unit::Pinned { service, key });
        let shards =
            flatten_groups(self.shards).map(|(service, index)| Unit::Shard { service, index });
        buckets.chain(pins).chain(shards)
    }
}

fn flatten_groups<T>(groups: BTreeMap<String, Vec<T>>) -> impl Iterator<Item = (String, T)> {
    groups
        .into_iter()
        .flat_map(|(name, values)| values.into_iter().map(move |value| (name.clone(), value)))
}
