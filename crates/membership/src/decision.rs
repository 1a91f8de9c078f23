//! Decisions of an agent, for the log output of the process.

use ids::Fence;
use ids::Generation;
use ids::Incarnation;
use ids::Offset;
use ids::Unit;
use ids::VmId;
use ids::ZoneId;
use serde::Deserialize;
use serde::Serialize;

use crate::LeaveReason;
use crate::MoveReason;

/// A decision of an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "decision")]
pub enum Decision {
    /// The log will never accept a record of this process, which is given up.
    AppendGivenUp {
        /// Reason that the log states.
        reason: String,
        /// What the record was to change.
        what: String,
    },
    /// A new version of a document is in force.
    ConfigurationInForce {
        /// Offset of the plans in force.
        plans: Offset,
        /// Offset of the workspaces in force.
        workspaces: Offset,
    },
    /// Operators have declared a manifest, which is in force at this process if it is valid.
    ManifestDeclared {
        /// Revision of the manifest.
        revision: u64,
    },
    /// The process can no longer know which keys are withdrawn, and refuses every request.
    Uninformed,
    /// The process is informed again.
    Informed,
    /// The process became a member.
    Joined {
        /// Incarnation of the member.
        incarnation: Incarnation,
    },
    /// The process stopped being a member.
    Left {
        /// Incarnation that ended.
        incarnation: Incarnation,
        /// Reason for the end.
        reason: LeaveReason,
    },
    /// The lease ended, and no request is dispatched until it is renewed.
    LeaseEnded {
        /// Incarnation of the member.
        incarnation: Incarnation,
    },
    /// The lease holds again, or for the first time.
    LeaseHeld {
        /// Incarnation of the member.
        incarnation: Incarnation,
    },
    /// This member, which is out of service, owns no units any more.
    Evacuated {
        /// Time since the process learned that the member is out of service, in milliseconds.
        elapsed_ms: u64,
    },
    /// The log was restored from a backup, and the process follows its new generation.
    LogRestored {
        /// The generation.
        generation: Generation,
    },
    /// A unit moves to another member.
    Moved {
        /// Fence under which this process owned the unit.
        fence: Fence,
        /// Reason for the move.
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
        /// Reason why it has no effect.
        reason: String,
    },
    /// This witness stopped renewing a member for good.
    Suspected {
        /// The member.
        vm: VmId,
        /// Incarnation of the member.
        incarnation: Incarnation,
    },
    /// This process became the owner of a unit.
    #[serde(rename = "took")]
    Acquired {
        /// Fence under which it owns the unit.
        fence: Fence,
        /// The unit.
        unit: Unit,
        /// Time to wait before the unit may be served, in milliseconds.
        wait_ms: u64,
    },
    /// This process accepted a new upstream process.
    UpstreamAccepted {
        /// Id of the upstream process.
        instance: String,
    },
    /// Operators have declared the state of a zone outside the log.
    ZoneDeclared {
        /// Whether the zone is out of service.
        out: bool,
        /// The zone.
        zone: ZoneId,
    },
    /// The log states a new state of a zone.
    ZoneRecorded {
        /// Whether the zone is out of service.
        out: bool,
        /// The zone.
        zone: ZoneId,
    },
}

impl Decision {
    /// Returns the name of the kind of decision.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::AppendGivenUp { .. } => "append_given_up",
            Self::ConfigurationInForce { .. } => "configuration_in_force",
            Self::Evacuated { .. } => "evacuated",
            Self::Informed => "informed",
            Self::Joined { .. } => "joined",
            Self::LeaseEnded { .. } => "lease_ended",
            Self::LeaseHeld { .. } => "lease_held",
            Self::Left { .. } => "left",
            Self::ManifestDeclared { .. } => "manifest_declared",
            Self::Moved { .. } => "moved",
            Self::RecordSkipped { .. } => "record_skipped",
            Self::Suspected { .. } => "suspected",
            Self::Acquired { .. } => "took",
            Self::Uninformed => "uninformed",
            Self::LogRestored { .. } => "log_restored",
            Self::UpstreamAccepted { .. } => "upstream_accepted",
            Self::ZoneDeclared { .. } => "zone_declared",
            Self::ZoneRecorded { .. } => "zone_recorded",
        }
    }

    /// Returns the decision for a lease that now holds, or no longer does.
    pub(crate) fn lease_changed(holds: bool, incarnation: Incarnation) -> Self {
        if holds {
            Self::LeaseHeld { incarnation }
        } else {
            Self::LeaseEnded { incarnation }
        }
    }

    /// Returns the decision for a process that is now informed, or no longer is.
    pub(crate) fn informed_changed(is_informed: bool) -> Self {
        if is_informed {
            Self::Informed
        } else {
            Self::Uninformed
        }
    }
}
