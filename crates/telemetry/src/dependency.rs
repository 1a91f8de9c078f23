//! What a process depends on.

use serde::Deserialize;
use serde::Serialize;

/// What a process depends on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dependency {
    /// The platform's log, read.
    Log,
    /// The platform's log, written.
    LogWrites,
    /// What operators declare.
    Operators,
    /// Another process.
    Peer,
    /// The upstream beside this process.
    Upstream,
}

impl Dependency {
    /// Returns the name in log lines and metrics.
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
