//! A request that was sent and has no complete answer yet.

use std::time::Instant;

use ids::RequestId;

use crate::UpstreamClient;
use crate::cancel_on_drop::CancelOnDrop;
use crate::connection::Connection;

/// Request in flight with its connection. Drop closes the connection and cancels the request.
pub(crate) struct InFlightRequest {
    pub(crate) conn: Connection,
    cancellation: CancelOnDrop,
    sent: Instant,
}

impl InFlightRequest {
    pub(crate) fn new(client: UpstreamClient, request_id: RequestId, conn: Connection) -> Self {
        Self {
            cancellation: CancelOnDrop::new(client, request_id),
            conn,
            sent: Instant::now(),
        }
    }

    /// Prevents the cancellation on drop.
    pub(crate) fn disarm(&mut self) {
        self.cancellation.disarm();
    }

    /// Returns the connection to the pool, for other requests.
    pub(crate) fn release_connection(mut self, client: &UpstreamClient) {
        self.disarm();
        client.pool().put(self.conn);
    }

    /// Closes every idle connection that has not received an answer since this request was sent.
    pub(crate) fn close_idle_since_sent(&self, client: &UpstreamClient) {
        client.pool().drop_idle_longer_than(self.sent.elapsed());
    }
}
