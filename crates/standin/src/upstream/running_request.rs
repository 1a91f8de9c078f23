//! One request that runs.

use ids::Fence;
use ids::RequestId;
use ids::Unit;
use tokio::sync::watch;

/// A request between its start and its end.
#[derive(Debug)]
pub(crate) struct RunningRequest {
    pub(crate) cancelled: watch::Sender<bool>,
    pub(crate) grant: Option<(Unit, Fence)>,
    pub(crate) id: RequestId,
}
