//! Selection of the requests that are logged.

use serde::Deserialize;
use serde::Serialize;

/// Selects the requests that get log lines. Sampled requests always get them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestLogFilter {
    /// All requests.
    #[default]
    All,
    /// Requests that were refused, failed or late at this process, with all of its earlier decisions about them.
    Failed,
    /// No requests.
    None,
}
