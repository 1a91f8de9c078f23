//! Bodies of the drain and cancel control requests and their answers.

use serde::Deserialize;
use serde::Serialize;

/// Body of the control request that cancels a request.
#[derive(Debug, Serialize)]
pub(crate) struct CancelRequest<'a> {
    pub(crate) request_id: &'a str,
}

/// Answer that reports whether the request was stopped or will never start.
#[derive(Debug, Deserialize)]
pub(crate) struct CancelResponse {
    pub(crate) cancelled: bool,
}

/// Body of the control request that starts a drain.
#[derive(Debug, Serialize)]
pub(crate) struct DrainRequest {}

/// Answer that reports how many requests are still running.
#[derive(Debug, Deserialize)]
pub(crate) struct DrainResponse {
    pub(crate) running: u32,
}
