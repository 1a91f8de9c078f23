//! Content of the record of a step of a roll-out.

use ids::Offset;
use ids::ServiceId;
use serde::Deserialize;
use serde::Serialize;

use crate::RolloutStep;

/// Step of a roll-out. The first valid record of a step takes effect, and later ones are rejected.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutRecord {
    /// Service of the upstreams.
    pub service: ServiceId,
    /// Position of the order among the declarations of operators.
    pub position: Offset,
    /// The step.
    pub step: RolloutStep,
}
