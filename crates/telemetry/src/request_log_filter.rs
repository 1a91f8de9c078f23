//! Which requests are logged.

use serde::Deserialize;
use serde::Serialize;

/// Which requests get log lines. Those that are sampled always do.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestLogFilter {
    /// All of them.
    #[default]
    All,
    /// Those that were refused, failed or late at this process, with everything that it decided about them before.
    Failed,
    /// None.
    None,
}
