//! The interface that a user of the server implements.

use bytes::Bytes;
use http::Request;
use http::Response;

use crate::RefusalReason;

/// Answers requests. The future of a request is dropped when its caller disconnects.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request, whose body has arrived completely. Its extensions hold the
    /// [`RemoteAddress`](crate::RemoteAddress) of the client.
    fn handle(&self, req: Request<Bytes>) -> impl Future<Output = Response<Bytes>> + Send;

    /// Returns the answer for a client whose request or connection is refused. The connection closes after it.
    fn refuse(&self, reason: RefusalReason) -> Response<Bytes>;
}
