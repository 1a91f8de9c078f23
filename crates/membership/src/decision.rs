//! What an agent decided, for the log of the process.

use ids::Fence;
use ids::Incarnation;
use ids::Offset;
use ids::Unit;
use ids::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::LeaveReason;
use crate::MoveReason;

/// A decision of an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "decision")]
pub enum Decision {
    /// A new version of a document is in force.
    ConfigurationInForce {
        /// Offset of the plans in force.
        plans: Offset,
        /// Offset of the workspaces in force.
        workspaces: Offset,
    },
    /// The process can no longer know which keys are withdrawn, and refuses everything.
    Uninformed,
    /// The process is informed again.
    Informed,
    /// The process became a member.
    Joined {
        /// Life of the member.
        incarnation: Incarnation,
    },
    /// The process stopped being a member.
    Left {
        /// Life that ended.
        incarnation: Incarnation,
        /// Reason for the end.
        reason: LeaveReason,
    },
    /// The lease ended, and nothing is dispatched until it is renewed.
    LeaseEnded {
        /// Life of the member.
        incarnation: Incarnation,
    },
    /// The lease holds after it did not.
    LeaseHeld {
        /// Life of the member.
        incarnation: Incarnation,
    },
    /// A unit passes to another member.
    Moved {
        /// Fence under which this process owned the unit.
        fence: Fence,
        /// Why the unit passes on.
        reason: MoveReason,
        /// Next owner.
        to: VmId,
        /// The unit.
        unit: Unit,
    },
    /// A record of the log has no effect.
    RecordSkipped {
        /// Offset of the record.
        offset: Offset,
        /// Reason why it has none.
        reason: String,
    },
    /// This witness stopped renewing a member for good.
    Suspected {
        /// The member.
        vm: VmId,
        /// Life of the member.
        incarnation: Incarnation,
    },
    /// This process became the owner of a unit.
    #[serde(rename = "took")]
    Acquired {
        /// Fence under which it owns the unit.
        fence: Fence,
        /// The unit.
        unit: Unit,
        /// Time until the unit may be served, in milliseconds.
        wait_ms: u64,
    },
    /// The upstream of this process changed.
    UpstreamAccepted {
        /// Life of the upstream.
        instance: String,
    },
}

impl Decision {
    /// Returns the name of the kind of decision.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::ConfigurationInForce { .. } => "configuration_in_force",
            Self::Informed => "informed",
            Self::Joined { .. } => "joined",
            Self::LeaseEnded { .. } => "lease_ended",
            Self::LeaseHeld { .. } => "lease_held",
            Self::Left { .. } => "left",
            Self::Moved { .. } => "moved",
            Self::RecordSkipped { .. } => "record_skipped",
            Self::Suspected { .. } => "suspected",
            Self::Acquired { .. } => "took",
            Self::Uninformed => "uninformed",
            Self::UpstreamAccepted { .. } => "upstream_accepted",
        }
    }

    /// Returns the decision about a lease that holds from now on, or no longer does.
    pub(crate) fn lease(holds: bool, incarnation: Incarnation) -> Self {
        if holds {
            Self::LeaseHeld { incarnation }
        } else {
            Self::LeaseEnded { incarnation }
        }
    }

    /// Returns the decision to refuse everything from now on, or no longer to.
    pub(crate) fn informed(is_informed: bool) -> Self {
        if is_informed {
            Self::Informed
        } else {
            Self::Uninformed
        }
    }
}
