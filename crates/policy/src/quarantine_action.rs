//! Treatment of a request that may crash an upstream.

use serde::Serialize;

/// Treatment of a request by its home, given the [`SuspicionLevel`](crate::SuspicionLevel) of its content.
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
