//! How a request is run.

use serde::Serialize;

/// How a request is run, in view of crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuarantineAction {
    /// It may run beside others.
    Free,
    /// It is refused as not run.
    Refuse,
    /// It runs while nothing else runs on the upstream.
    RunAlone,
}
