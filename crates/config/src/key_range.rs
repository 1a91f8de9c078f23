//! Range of numeric keys.

use serde::Deserialize;
use serde::Serialize;

/// Range of consecutive numeric keys, both ends included.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyRange {
    /// Lowest key.
    pub first: u32,
    /// Highest key.
    pub last: u32,
}

impl KeyRange {
    /// Reports whether all keys of `other` are in this range.
    pub fn covers(&self, other: &Self) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// Reports whether the ranges have a key in common.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }
}
