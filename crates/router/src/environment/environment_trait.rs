//! The interface to the environment that a process runs in.

use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use records::Log;
use upstream::Dialect;

use crate::DeclarationReads;
use crate::DeclarationSink;
use crate::UpstreamGrants;
use crate::UpstreamMessage;

/// Translates between the router and the environment that a process runs in. It makes no decisions.
pub trait Environment: Send + Sync + 'static {
    /// Returns the header names that callers and upstreams use, and the features that upstreams support.
    fn dialect(&self) -> Dialect;

    /// Returns the log shared by the fleet.
    fn log(&self) -> Arc<dyn Log>;

    /// Starts to pass operator declarations to `sink`, and returns the control of the reads.
    ///
    /// # Errors
    ///
    /// Returns an error when the system cannot start a thread.
    fn watch_declarations(
        &self,
        sink: DeclarationSink,
    ) -> anyhow::Result<Arc<dyn DeclarationReads>>;

    /// Writes a status for operators under a key, unless it is written already or `may_replace` refuses the present value.
    /// Blocks until the outcome is known.
    ///
    /// # Errors
    ///
    /// Returns the reason when it is not known whether the status was written, or when it was not.
    fn publish_status(
        &self,
        key: &str,
        value: &[u8],
        may_replace: &dyn Fn(&[u8]) -> bool,
    ) -> Result<(), String>;

    /// Parses a message from the local upstream.
    ///
    /// # Errors
    ///
    /// Returns a description of the problem when the message is invalid.
    fn parse_message(&self, req: &Request<Bytes>) -> Result<UpstreamMessage, String>;

    /// Returns the response to a message. `grants` is `None` if no grant is renewed.
    fn build_response(&self, grants: Option<&UpstreamGrants>) -> Response<Bytes>;
}
