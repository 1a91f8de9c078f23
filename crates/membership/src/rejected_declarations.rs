//! Declarations that the log will never accept.

use std::collections::BTreeMap;

use ids::ZoneId;

/// Declarations of operators that the log will never accept as records.
#[derive(Debug, Default)]
pub(crate) struct RejectedDeclarations {
    /// Revision of the manifest, 0 for none.
    pub(crate) revision: u64,
    /// Zones with their declared states, `true` for a zone that is out of service.
    pub(crate) zones: BTreeMap<ZoneId, bool>,
}
