//! A status that is to be written.

use cluster::RolloutState;
use ids::Offset;
use ids::ServiceId;

use crate::rollout::status_document::StatusDocument;

/// A status that is to be written for operators.
#[derive(Clone, Debug)]
pub(crate) struct StatusJob {
    pub(crate) document: StatusDocument,
    pub(crate) position: Offset,
    pub(crate) service: ServiceId,
    /// State that the log holds.
    pub(crate) state: RolloutState,
}
