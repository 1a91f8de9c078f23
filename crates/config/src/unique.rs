//! Deserializers of maps and sets that reject duplicates instead of silently dropping them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Formatter;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;

struct MapVisitor<V>(PhantomData<V>);

struct SetVisitor;

impl<'de, V: Deserialize<'de>> Visitor<'de> for MapVisitor<V> {
    type Value = BTreeMap<String, V>;

    fn expecting(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("a map")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Self::Value, A::Error> {
        let mut map = BTreeMap::new();
        while let Some((name, value)) = access.next_entry::<String, V>()? {
            if map.contains_key(&name) {
                return Err(A::Error::custom(format!("duplicate name `{name}`")));
            }
            map.insert(name, value);
        }
        Ok(map)
    }
}

impl<'de> Visitor<'de> for SetVisitor {
    type Value = BTreeSet<String>;

    fn expecting(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Self::Value, A::Error> {
        let mut set = BTreeSet::new();
        while let Some(name) = access.next_element::<String>()? {
            if set.contains(&name) {
                return Err(A::Error::custom(format!("duplicate entry `{name}`")));
            }
            set.insert(name);
        }
        Ok(set)
    }
}

/// Deserializes a map and fails if a name occurs twice.
pub(crate) fn map<'de, D, V>(deserializer: D) -> Result<BTreeMap<String, V>, D::Error>
where
    D: Deserializer<'de>,
    V: Deserialize<'de>,
{
    deserializer.deserialize_map(MapVisitor(PhantomData))
}

/// Deserializes a list and fails if an entry occurs twice.
pub(crate) fn set<'de, D>(deserializer: D) -> Result<BTreeSet<String>, D::Error>
where
    D: Deserializer<'de>,
{
    deserializer.deserialize_seq(SetVisitor)
}
