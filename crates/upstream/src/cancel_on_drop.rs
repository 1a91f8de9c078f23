//! Cancellation of a request whose answer is no longer awaited.

use ids::RequestId;
use tokio::runtime::Handle;

use crate::UpstreamClient;

/// Cancels a request at the upstream on drop, unless disarmed.
pub(crate) struct CancelOnDrop {
    client: UpstreamClient,
    request_id: Option<RequestId>,
}

impl CancelOnDrop {
    pub(crate) fn new(client: UpstreamClient, request_id: RequestId) -> Self {
        Self {
            client,
            request_id: Some(request_id),
        }
    }

    /// Prevents the cancellation, for a request that is over or was never sent.
    pub(crate) fn disarm(&mut self) {
        self.request_id = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some(request_id) = self.request_id.take() else {
            return;
        };
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let client = self.client.clone();
        runtime.spawn(async move {
            if let Err(error) = client.cancel(&request_id).await {
                log::debug!("cannot cancel request {request_id}: {error}");
            }
        });
    }
}
