//! The part of a server that its user writes.

use bytes::Bytes;
use http::Request;
use http::Response;

use crate::RefusalReason;

/// Answers requests. The future of a request is dropped when its caller disconnects.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request, whose body has arrived as a whole.
    fn handle(&self, req: Request<Bytes>) -> impl Future<Output = Response<Bytes>> + Send;

    /// Returns the answer for a client whose request is refused. The connection closes behind it.
    fn refuse(&self, refused: RefusalReason) -> Response<Bytes>;
}
