//! Declarations that the log will never accept.

use std::collections::BTreeMap;

use ids::Offset;
use ids::ServiceId;
use ids::ZoneId;

/// Declarations of operators that the log will never accept as records.
#[derive(Debug, Default)]
pub(crate) struct RejectedDeclarations {
    /// Revision of the manifest, 0 for none.
    pub(crate) revision: u64,
    /// Position of the order of a roll-out, by service.
    pub(crate) rollouts: BTreeMap<ServiceId, Offset>,
    /// Zones with their declared states, `true` for a zone that is out of service.
    pub(crate) zones: BTreeMap<ZoneId, bool>,
}
