//! The actions that an agent returns.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cluster::Record;
use ids::Offset;
use ids::Unit;
use ids::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::CheckInAnswer;
use crate::Decision;
use crate::Grant;
use crate::Heartbeat;
use crate::HeartbeatAnswer;
use crate::UpstreamProcess;

/// An action that an agent requests from its process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Answers a check-in of the local upstream.
    AnswerCheckIn(CheckInAnswer),
    /// Appends a record to the log. The agent repeats the action until it reads the record back.
    Append(Record),
    /// Checks where the declarations of operators end.
    CheckDeclarations,
    /// Writes a decision to the log output of the process.
    #[serde(rename = "decide")]
    LogDecision(Decision),
    /// Starts no more requests on the units, and reports `Drained` once none runs.
    ///
    /// A request whose key was pinned after the request started counts for the pinned key as well as
    /// for the key's shard.
    Drain {
        /// The units.
        units: BTreeSet<Unit>,
    },
    /// Ends the reads of the log that have waited for records for `age` or longer, because the log holds records that they
    /// should have returned.
    EndOverdueReads {
        /// The age.
        age: Duration,
    },
    /// Sends a grant to the local upstream.
    Grant(Grant),
    /// Samples the clock of the local upstream.
    Probe,
    /// Requests records from a peer, because the log cannot be read or this process lags behind.
    Pull {
        /// Address of the peer.
        address: SocketAddr,
        /// Offset of the first requested record.
        from: Offset,
        /// The peer.
        peer: VmId,
    },
    /// Records the state that an accepted check-in of the local upstream reports. Comes before all other actions that follow
    /// from the check-in.
    RecordUpstreamState {
        /// Process that checked in.
        process: UpstreamProcess,
        /// Time for which the upstream remains cold.
        warm_up_left: Duration,
    },
    /// Repeats the read of the declarations of operators that waits for changes, because it has not returned some that are
    /// known to exist.
    RepeatDeclarationReads,
    /// Sends a heartbeat to a witness.
    SendHeartbeat {
        /// The message.
        heartbeat: Heartbeat,
        /// Address of the witness.
        to: SocketAddr,
    },
    /// Answers a heartbeat.
    SendHeartbeatAnswer {
        /// The message.
        answer: HeartbeatAnswer,
        /// Address of the member.
        to: SocketAddr,
    },
    /// The graceful stop is complete, and the process may exit.
    Stopped,
    /// Cancels a `Drain`.
    Undrain {
        /// The units.
        units: BTreeSet<Unit>,
    },
}
