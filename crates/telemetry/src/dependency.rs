//! Dependencies of a process.

use serde::Deserialize;
use serde::Serialize;

/// Kind of component that a process depends on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dependency {
    /// Reads of the platform's log.
    Log,
    /// Writes to the platform's log.
    LogWrites,
    /// The source of operator declarations.
    Operators,
    /// Another process of the fleet.
    Peer,
    /// The upstream on the VM of this process.
    Upstream,
}

impl Dependency {
    /// Returns the name of the dependency in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Log => "log",
            Self::LogWrites => "log-writes",
            Self::Operators => "operators",
            Self::Peer => "peer",
            Self::Upstream => "upstream",
        }
    }
}
