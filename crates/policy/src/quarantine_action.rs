//! How a home treats a request that may crash its upstream.

use serde::Serialize;

/// How a home treats a request, given the [`SuspicionLevel`](crate::SuspicionLevel) of its content.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuarantineAction {
    /// The request may run concurrently with others.
    Free,
    /// The request is refused as not run.
    Refuse,
    /// The request runs while no other request runs on the upstream.
    RunAlone,
}
