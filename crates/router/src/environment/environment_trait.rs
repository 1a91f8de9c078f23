//! The interface to the place that a process runs in.

use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use records::Log;
use upstream::Dialect;

use crate::DeclarationSink;
use crate::UpstreamGrants;
use crate::UpstreamMessage;

/// Translates between the product and the place that a process runs in. It decides nothing.
pub trait Environment: Send + Sync + 'static {
    /// Returns the names of headers, and what upstreams understand.
    fn dialect(&self) -> Dialect;

    /// Returns the log that the fleet shares.
    fn log(&self) -> Arc<dyn Log>;

    /// Starts to pass on what operators declare.
    ///
    /// # Errors
    ///
    /// Returns an error when the system cannot start a thread.
    fn watch_declarations(&self, sink: DeclarationSink) -> anyhow::Result<()>;

    /// Reads what the local upstream says of itself.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn parse_message(&self, req: &Request<Bytes>) -> Result<UpstreamMessage, String>;

    /// Returns the response to a report, `None` for the grants when nothing is renewed.
    fn answer_report(&self, grants: Option<&UpstreamGrants>) -> Response<Bytes>;
}
