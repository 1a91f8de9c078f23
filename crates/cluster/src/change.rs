//! One effect of a record.

use ids::Fence;
use ids::Incarnation;
use ids::Offset;
use ids::Unit;
use ids::VmId;

use crate::EndReason;
use crate::QuarantineState;

/// One effect of a record, for decision log lines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A request entered quarantine, or was seen to crash another upstream.
    RequestQuarantined {
        /// Fingerprint of the request.
        fingerprint: String,
        /// What entries do with the request from now on.
        state: QuarantineState,
    },
    /// A request left quarantine.
    QuarantineCleared {
        /// Fingerprint of the request.
        fingerprint: String,
    },
    /// A configuration came into force.
    ConfigurationChanged {
        /// Offset of the record.
        version: Offset,
    },
    /// A member is no longer one.
    MemberEnded {
        /// Life that ended.
        incarnation: Incarnation,
        /// Why it ended.
        reason: EndReason,
        /// The member.
        vm: VmId,
    },
    /// A member joined.
    MemberJoined {
        /// Life that began.
        incarnation: Incarnation,
        /// The member.
        vm: VmId,
    },
    /// A snapshot is complete in the log.
    SnapshotCompleted {
        /// Offset of the last record that it covers.
        through: Offset,
    },
    /// A witness no longer renews the lease of a member.
    Suspected {
        /// The witness.
        by: VmId,
        /// The member.
        vm: VmId,
    },
    /// A unit was removed.
    UnitRemoved {
        /// The unit.
        unit: Unit,
    },
    /// A unit passed to another owner, or lost its owner.
    UnitReassigned {
        /// Offset of the deciding record.
        fence: Fence,
        /// Former owner, `None` for a unit that had none.
        from: Option<VmId>,
        /// New owner, `None` when there is no candidate.
        to: Option<VmId>,
        /// The unit.
        unit: Unit,
        /// Time that the new owner waits before it serves, in milliseconds.
        wait_ms: u64,
    },
    /// A member has new witnesses.
    WitnessesNamed {
        /// The member.
        vm: VmId,
    },
}
