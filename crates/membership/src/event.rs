//! The events that an agent handles.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use ids::Generation;
use ids::Offset;
use ids::RecordId;
use ids::Unit;
use ids::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::Announcement;
use crate::CheckIn;
use crate::GrantAnswer;
use crate::Heartbeat;
use crate::HeartbeatAnswer;
use crate::OperatorDeclarations;
use crate::UpstreamProcess;

/// An event that an agent handles. The time passed with it is read after the event arrived.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The local upstream announced itself.
    Announced(Announcement),
    /// The log will never accept a record of this process, which was not written.
    AppendRejected {
        /// Id of the record.
        id: RecordId,
        /// Reason that the log states.
        reason: String,
    },
    /// The log accepted records of this process.
    Appended,
    /// Capacities of the members of the service whose upstreams limit the rate of requests, in slots. Members that are not named
    /// have all of their slots.
    Capacities {
        /// Capacity by member.
        capacities: BTreeMap<VmId, f64>,
    },
    /// The local upstream, which polls its grants, checked in.
    CheckedIn(CheckIn),
    /// The local upstream answered a probe of its clock.
    ClockSampled {
        /// The upstream's monotonic clock, in milliseconds.
        clock_ms: u64,
        /// Id of the upstream process.
        instance: String,
    },
    /// The current declarations of operators outside the log.
    Declared(OperatorDeclarations),
    /// It was checked where the declarations of operators end.
    DeclarationsChecked {
        /// Time that the check took.
        duration: Duration,
        /// Position after the newest declaration.
        position: Offset,
    },
    /// All declarations of operators outside the log were read. Changes follow as [`Event::Declared`].
    DeclarationsRead {
        /// Time that the read took.
        #[serde(default)]
        duration: Duration,
        /// Whether the read waited for a change.
        has_waited: bool,
        /// Position after the newest declaration.
        #[serde(default)]
        position: Offset,
    },
    /// No request runs or will run on units that a `Drain` named.
    Drained {
        /// The units.
        units: BTreeSet<Unit>,
    },
    /// The local upstream answered a grant.
    GrantAnswered(GrantAnswer),
    /// A grant was not answered in time, or was answered with an error.
    GrantFailed {
        /// Number of the grant.
        sequence: u64,
    },
    /// A member requests a renewal from this process as its witness.
    Heartbeat {
        /// Address to answer to.
        address: SocketAddr,
        /// The message.
        heartbeat: Heartbeat,
    },
    /// A witness answered a heartbeat.
    HeartbeatAnswered(HeartbeatAnswer),
    /// Loads of the hottest keys that this process serves, in the unit of `UnitLoads`.
    HotKeys {
        /// Load by key.
        loads: BTreeMap<String, f64>,
    },
    /// The log could not be read.
    LogFailed,
    /// The log was read, and held no new record.
    LogIdle,
    /// The log was restored from a backup, and continues in a new generation.
    LogRestored {
        /// The generation.
        generation: Generation,
    },
    /// Total loads of some other members, in the unit of `UnitLoads`. Earlier loads of members that
    /// are not named remain valid.
    PeerLoads {
        /// Load by member.
        loads: BTreeMap<VmId, f64>,
    },
    /// A peer answered a pull with records.
    PeerRecords {
        /// Offset of the next record that the peer reads.
        next: Offset,
        /// The peer.
        peer: VmId,
        /// Records with their offsets, in the order of the log.
        records: Vec<(Offset, String)>,
    },
    /// The log was read.
    Records {
        /// Offset that the next append takes.
        next: Offset,
        /// Records with their offsets, in the order of the log.
        records: Vec<(Offset, String)>,
    },
    /// The log no longer keeps the next record to read.
    RecordsExpired {
        /// Oldest offset that the log keeps.
        first: Offset,
    },
    /// A graceful stop was requested.
    Stop,
    /// Time has advanced. Heartbeats that arrived before are handled first.
    Tick,
    /// Share of the shards of the service that are on trial at present, from 0 to 1.
    TrialShare {
        /// The share.
        share: f64,
    },
    /// Loads of the units that this process serves, such as requests per second.
    UnitLoads {
        /// Load by unit.
        loads: BTreeMap<Unit, f64>,
    },
    /// The local upstream has ended or ends soon.
    UpstreamLeft {
        /// The upstream process.
        process: UpstreamProcess,
    },
    /// The connection to the local upstream was refused.
    UpstreamLost,
}
