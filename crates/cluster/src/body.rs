//! What a record states.

use std::collections::BTreeMap;

use config::KeyHash;
use ids::Incarnation;
use ids::Offset;
use ids::ServiceId;
use ids::Unit;
use ids::VmId;
use ids::WorkspaceId;
use ids::ZoneId;
use serde::Deserialize;
use serde::Serialize;

use crate::Document;
use crate::Join;
use crate::Suspicion;
use crate::UnitFence;

/// What a record states. A `base` is the offset of the record that the writer's change was based on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "type")]
pub enum Body {
    /// Removes a request from quarantine.
    ClearQuarantine {
        /// Fingerprint of the request.
        fingerprint: String,
    },
    /// States that an operator has checked that a member's process is gone and will not come back.
    ///
    /// Its upstream may go on for one lease, which heirs wait out.
    DeclareLost {
        /// The member.
        vm: VmId,
        /// Life of the member that is gone.
        incarnation: Incarnation,
    },
    /// Adds a tenant key.
    IssueKey {
        /// Workspace that the key belongs to.
        workspace: WorkspaceId,
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Adds a member, and ends every member of the same VM or at the same peer address. The units of a former life of
    /// the same VM and service stay there, under a new fence.
    ///
    /// The writer states that the process of such a member is gone, as its port was free, and that
    /// the local upstream has revoked or outlived all grants of it.
    Join(Join),
    /// Ends a member that has stopped serving, and has stopped renewing the leases of others.
    ///
    /// The member states that its upstream has revoked or outlived all grants.
    Leave {
        /// The member.
        vm: VmId,
        /// Life of the member that ends.
        incarnation: Incarnation,
    },
    /// Passes units from their owner to another member.
    ///
    /// The owner states of each unit that its wait was over, that no request runs on it, and that
    /// its upstream has revoked the grant. A unit that it no longer holds under the fence is left
    /// out, and the rest pass.
    Move {
        /// Present owner.
        from: VmId,
        /// Life of the present owner.
        incarnation: Incarnation,
        /// Next owner.
        to: VmId,
        /// Life of the next owner.
        to_incarnation: Incarnation,
        /// What the upstream of the next owner needs to continue where the present one ended, by unit.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        handovers: BTreeMap<Unit, String>,
        /// Units with the fences under which the present owner holds them.
        units: Vec<UnitFence>,
    },
    /// Makes a hot key a unit of its own, with the owner of its shard.
    ///
    /// The owner serves the shard already. Requests for the key that run under the fence of the
    /// shard and those under the fence of the pin do not overlap at two homes, as one home owns
    /// both. Before it moves the pin, it drains the requests for the key under either fence.
    Pin {
        /// Owner of the shard.
        vm: VmId,
        /// Life of the owner.
        incarnation: Incarnation,
        /// Service of the key.
        service: ServiceId,
        /// The key.
        key: String,
    },
    /// Replaces a document.
    Publish {
        /// Offset of the publication that this one replaces, 0 for the first.
        base: Offset,
        /// The new document.
        document: Document,
    },
    /// States that a request was running while an upstream crashed.
    Quarantine {
        /// Member whose upstream crashed.
        vm: VmId,
        /// Life of the upstream that crashed.
        upstream_instance: String,
        /// Fingerprint of the request.
        fingerprint: String,
        /// Workspace that sent the request.
        workspace: WorkspaceId,
        /// Whether the request was the only one that ran.
        alone: bool,
        /// Time at which the entry ends, in milliseconds since the Unix epoch.
        expires_unix_ms: u64,
    },
    /// Asks for new witnesses of a member, or releases its former ones after it has got new ones.
    ///
    /// A record that releases former witnesses states that the member has read which new ones it
    /// has, and that its lease no longer counts any answer of the former.
    Rewitness {
        /// The member.
        vm: VmId,
        /// Life of the member.
        incarnation: Incarnation,
        /// Offset of the record that named the present witnesses.
        base: Offset,
    },
    /// Part of a snapshot of the folded log.
    SnapshotChunk {
        /// Offset up to which records are covered, inclusive.
        through: Offset,
        /// Index of the part.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// The part.
        data: String,
    },
    /// States which members a witness no longer renews.
    Suspect {
        /// The witness.
        vm: VmId,
        /// Life of the witness.
        incarnation: Incarnation,
        /// Members that it suspects.
        suspicions: Vec<Suspicion>,
    },
    /// Ends the pin of a key that is no longer hot, and returns it to its shard, if one member owns both.
    ///
    /// If the pin came to its owner by a loss, the whole shard gets a new fence and the wait of the
    /// pin, which may not be over.
    Unpin {
        /// Owner of the key.
        vm: VmId,
        /// Life of the owner.
        incarnation: Incarnation,
        /// Service of the key.
        service: ServiceId,
        /// The key.
        key: String,
    },
    /// Takes an upstream out of service or returns it.
    Upstream {
        /// VM of the upstream.
        vm: VmId,
        /// Whether the upstream is taken out.
        drained: bool,
        /// Offset of the record that last changed this upstream's state, 0 for none.
        base: Offset,
    },
    /// Ends a tenant key for good.
    WithdrawKey {
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Takes an availability zone out of service or returns it.
    Zone {
        /// The zone.
        zone: ZoneId,
        /// Whether the zone is taken out.
        out: bool,
        /// Offset of the record that last changed this zone's state, 0 for none.
        base: Offset,
        /// Position up to which the writer had read what operators declare elsewhere, 0 for a change in the log itself.
        #[serde(default, skip_serializing_if = "is_zero")]
        position: Offset,
    },
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
fn is_zero(position: &Offset) -> bool {
    *position == 0
}
