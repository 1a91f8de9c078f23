//! Loads of units and keys.

use std::collections::BTreeMap;

use ids::Unit;

/// Loads of units and keys, in busy slots of the upstream.
#[derive(Debug)]
pub(crate) struct Loads {
    /// Number of slots that can be used if the upstream limits the rate of requests, or slots weighted by the speed of the
    /// upstream if requests are placed by cost.
    pub(crate) capacity: Option<f64>,
    /// Loads of the keys that keep the most slots busy.
    pub(crate) keys: BTreeMap<String, f64>,
    /// Loads of all owned units.
    pub(crate) units: BTreeMap<Unit, f64>,
}
