//! State of a unit that one owner hands over to the next.

use ids::Fence;
use policy::BucketState;
use policy::ExportedMemory;
use policy::ExportedRequest;
use policy::RequestState;
use serde::Deserialize;
use serde::Serialize;

use crate::handover::StoredAnswer;

/// Largest total size of the answers that are handed over with a unit, in bytes. Answers beyond it are marked as lost.
const MAX_ANSWER_BYTES: usize = 2 << 20;

/// State of a unit that one owner hands over to the next, with the fence under which it owned the unit.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct HandoverState {
    pub(crate) contents: HandoverContents,
    pub(crate) fence: Fence,
}

/// Contents of a handover, by the kind of the unit.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum HandoverContents {
    /// Tokens of a bucket, and the batches of tokens that entries hold.
    Bucket(BucketState),
    /// Remembered requests of a shard or a pinned key.
    Requests(ExportedMemory<StoredAnswer>),
}

impl HandoverState {
    /// Creates the handover state of a bucket.
    pub(crate) fn bucket(fence: Fence, state: BucketState) -> Self {
        Self {
            contents: HandoverContents::Bucket(state),
            fence,
        }
    }

    /// Creates the handover state of a shard or a pinned key.
    ///
    /// The answer that brings the total size above [`MAX_ANSWER_BYTES`], and all later ones, are marked as lost.
    pub(crate) fn requests(fence: Fence, mut memory: ExportedMemory<StoredAnswer>) -> Self {
        let mut bytes = 0;
        for remembered in &mut memory.requests {
            bytes += remembered.answer_bytes;
            if bytes > MAX_ANSWER_BYTES {
                mark_lost(remembered);
            }
        }
        Self {
            contents: HandoverContents::Requests(memory),
            fence,
        }
    }
}

fn mark_lost(remembered: &mut ExportedRequest<StoredAnswer>) {
    if matches!(remembered.state, RequestState::Answered(_)) {
        remembered.answer_bytes = 0;
        remembered.state = RequestState::Lost;
    }
}
