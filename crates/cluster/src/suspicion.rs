//! Suspicion of a member by a witness.

use ids::Incarnation;
use ids::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Member whose lease a witness has permanently stopped renewing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Suspicion {
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Time from the last renewal by the witness until the record was made, in milliseconds.
    pub last_renewed_ago_ms: u64,
    /// The member.
    pub vm: VmId,
}
