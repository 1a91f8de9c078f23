//! Events of a process.

use serde::Deserialize;
use serde::Serialize;

use crate::Dependency;

/// Event of a process, as its log line states it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum ProcessEvent {
    /// The newest operator declarations are valid, after others that were not.
    DeclarationsAccepted,
    /// The newest operator declarations are invalid in part or as a whole. What is invalid has no effect.
    DeclarationsInvalid {
        /// What is invalid, and why.
        problem: String,
    },
    /// A dependency of the process stopped answering.
    DependencyLost {
        /// Kind of the dependency.
        dependency: Dependency,
        /// VM of a peer, empty for other dependencies.
        name: String,
        /// Error or timeout that was observed.
        problem: String,
    },
    /// A dependency of the process answers again.
    DependencyRegained {
        /// Kind of the dependency.
        dependency: Dependency,
        /// VM of a peer, empty for other dependencies.
        name: String,
        /// Time for which the dependency was lost, in milliseconds.
        lost_ms: u64,
    },
    /// Log lines were dropped because they arrived faster than they could be written.
    LinesDropped {
        /// Number of lines dropped since the last event of this kind.
        count: u64,
    },
    /// The state of a roll-out has changed in the log.
    RolloutChanged {
        /// Service of the roll-out.
        service: String,
        /// Version to which the traffic moves.
        target_version: String,
        /// The state.
        state: String,
        /// Reason for the state, empty if there is none.
        reason: String,
    },
    /// This process, as a decider of a roll-out, has decided on its next step.
    RolloutDecided {
        /// Service of the roll-out.
        service: String,
        /// Version to which the traffic moves.
        target_version: String,
        /// The step.
        step: String,
        /// Reason of a rollback, empty for other steps.
        reason: String,
    },
    /// An order of a roll-out was refused while an earlier one is carried out.
    RolloutOrderRefused {
        /// Service of the roll-out.
        service: String,
        /// Why it was refused.
        problem: String,
    },
    /// Changed settings were read, and their log level was applied.
    SettingsRead {
        /// Minimum level of log messages from now on.
        log_level: String,
    },
    /// Changed settings were invalid or could not be read, and were not applied.
    SettingsRefused {
        /// The field concerned, its value and the remedy.
        problem: String,
    },
    /// The process has started.
    Started {
        /// Version of the program.
        version: String,
    },
    /// The process has stopped.
    Stopped {
        /// Whether all requests had ended before the stop.
        graceful: bool,
    },
    /// A graceful stop has begun.
    Stopping,
    /// The local upstream states in its answers that it is about to stop.
    UpstreamLeaving {
        /// Id of the instance of the upstream.
        instance: String,
    },
    /// The local upstream states that it accepts a limited rate of requests, or another one than before.
    UpstreamLimited {
        /// Id of the instance of the upstream.
        instance: String,
        /// Number of requests per second that it accepts.
        requests_per_second: f64,
    },
    /// The local upstream states a limit that cannot be read. An earlier limit remains in force.
    UpstreamLimitInvalid {
        /// Id of the instance of the upstream.
        instance: String,
        /// Values of the header.
        value: String,
    },
    /// The local upstream no longer states a limit on the rate of requests.
    UpstreamUnlimited {
        /// Id of the instance of the upstream.
        instance: String,
    },
}
