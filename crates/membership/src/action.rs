//! What an agent asks for.

use std::collections::BTreeSet;
use std::net::SocketAddr;

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

/// What an agent asks its process to do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Answers a check-in of the local upstream.
    AnswerCheckIn(CheckInAnswer),
    /// Appends a record. The agent repeats the action until it reads the record back.
    Append(Record),
    /// Writes a decision to the log of the process.
    #[serde(rename = "decide")]
    LogDecision(Decision),
    /// Stops starting requests on units, and reports `Drained` once none runs.
    ///
    /// A request for a key that was pinned after the request started counts for the pinned key as
    /// well as for its shard.
    Drain {
        /// The units.
        units: BTreeSet<Unit>,
    },
    /// Sends a grant to the local upstream.
    Grant(Grant),
    /// Samples the clock of the local upstream.
    Probe,
    /// Asks a peer for records, since the log cannot be read.
    Pull {
        /// Address of the peer.
        address: SocketAddr,
        /// Offset of the first record that is asked for.
        from: Offset,
        /// The peer.
        peer: VmId,
    },
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
    /// Takes back a `Drain`.
    Undrain {
        /// The units.
        units: BTreeSet<Unit>,
    },
}
