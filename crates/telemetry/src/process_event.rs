//! What happens to a process.

use serde::Deserialize;
use serde::Serialize;

use crate::Dependency;

/// What happens to a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum ProcessEvent {
    /// Something that the process depends on does not answer any more.
    DependencyLost {
        /// What it is.
        dependency: Dependency,
        /// Which one, where there are several.
        name: String,
        /// What was seen.
        problem: String,
    },
    /// Something that the process depends on answers again.
    DependencyRegained {
        /// What it is.
        dependency: Dependency,
        /// Which one, where there are several.
        name: String,
        /// Time for which it was lost, in milliseconds.
        lost_ms: u64,
    },
    /// Log lines were dropped, since they could not be written as fast as they came.
    LinesDropped {
        /// Their number since the last line like this.
        count: u64,
    },
    /// Changed settings were read.
    SettingsRead {
        /// Least severe level that is logged from now on.
        log_level: String,
    },
    /// Changed settings were wrong, and were not taken.
    SettingsRefused {
        /// The field, its value and the remedy.
        problem: String,
    },
    /// The process has started.
    Started {
        /// Version of the program.
        version: String,
    },
    /// The process has stopped.
    Stopped {
        /// Whether all requests had ended.
        graceful: bool,
    },
    /// A graceful stop has begun.
    Stopping,
}
