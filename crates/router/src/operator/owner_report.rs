//! The report on the owner of a key.

use cluster::Ownership;
use ids::Unit;
use serde::Serialize;

/// Owner of a key's unit, as reported to operators.
#[derive(Debug, Serialize)]
pub(crate) struct OwnerReport {
    pub(crate) owner: Option<Ownership>,
    pub(crate) unit: Unit,
}
