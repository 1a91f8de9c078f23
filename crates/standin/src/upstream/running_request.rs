//! Running request of an upstream.

use ids::Fence;
use ids::RequestId;
use ids::Unit;
use tokio::sync::watch;

/// Request that has started and not yet ended.
#[derive(Debug)]
pub(crate) struct RunningRequest {
    pub(crate) cancelled: watch::Sender<bool>,
    pub(crate) grant: Option<(Unit, Fence)>,
    pub(crate) id: RequestId,
}
