//! Declarations of operators outside the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cluster::RolloutOrder;
use config::Manifest;
use ids::Offset;
use ids::ServiceId;
use ids::ZoneId;
use serde::Deserialize;
use serde::Serialize;

/// Declarations of operators outside the log. Members publish them to the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OperatorDeclarations {
    /// The newest manifest, `None` before the first.
    pub manifest: Option<Box<Manifest>>,
    /// Position up to which the declarations were read.
    #[serde(default)]
    pub position: Offset,
    /// The newest order of a roll-out of each service.
    #[serde(default)]
    pub rollouts: BTreeMap<ServiceId, RolloutOrder>,
    /// Availability zones that operators have taken out of service.
    pub zones_out: BTreeSet<ZoneId>,
}
