//! Effects of log records.

use ids::Fence;
use ids::Incarnation;
use ids::Offset;
use ids::ServiceId;
use ids::Unit;
use ids::VmId;

use crate::EndReason;
use crate::QuarantineState;
use crate::RolloutState;

/// One effect of a record on the folded state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A request entered quarantine, or was running when another upstream crashed.
    RequestQuarantined {
        /// Fingerprint of the request.
        fingerprint: String,
        /// Treatment of the request by entries from now on.
        state: QuarantineState,
    },
    /// A request left quarantine.
    QuarantineCleared {
        /// Fingerprint of the request.
        fingerprint: String,
    },
    /// A new configuration is in force.
    ConfigurationChanged {
        /// Offset of the record.
        version: Offset,
    },
    /// A member has ended.
    MemberEnded {
        /// Incarnation that ended.
        incarnation: Incarnation,
        /// Why the member ended.
        reason: EndReason,
        /// The member.
        vm: VmId,
    },
    /// A member joined.
    MemberJoined {
        /// Incarnation that joined.
        incarnation: Incarnation,
        /// The member.
        vm: VmId,
    },
    /// A roll-out began, has a new state or a new reason, or counts as rolled back because of a later order.
    RolloutChanged {
        /// Position of the order among the declarations of operators.
        position: Offset,
        /// Service of the upstreams.
        service: ServiceId,
        /// State of the roll-out.
        state: RolloutState,
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
    /// A unit got a new owner or a new fence, or lost its owner.
    UnitReassigned {
        /// Offset of the record that reassigned the unit.
        fence: Fence,
        /// Previous owner, or `None` if the unit had none.
        from: Option<VmId>,
        /// New owner, or `None` if there is no candidate.
        to: Option<VmId>,
        /// The unit.
        unit: Unit,
        /// Time that the new owner waits before it serves the unit, in milliseconds.
        wait_ms: u64,
    },
    /// A member has new witnesses.
    WitnessesNamed {
        /// The member.
        vm: VmId,
    },
}
