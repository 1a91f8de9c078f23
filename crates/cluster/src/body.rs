//! Content of a log record.

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
use crate::RolloutRecord;
use crate::Suspicion;
use crate::UnitFence;

/// Content of a log record, by type.
///
/// `base` holds the offset of the record that the writer's change was based on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "type")]
pub enum Body {
    /// Removes a request from quarantine.
    ClearQuarantine {
        /// Fingerprint of the request.
        fingerprint: String,
    },
    /// Ends a member whose process is gone for good, as an operator has checked.
    ///
    /// The member's upstream may keep serving for one more lease, which the next owners wait out.
    DeclareLost {
        /// The member.
        vm: VmId,
        /// Incarnation of the member that is gone.
        incarnation: Incarnation,
    },
    /// Adds a tenant key.
    IssueKey {
        /// Workspace that the key belongs to.
        workspace: WorkspaceId,
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Adds a member, and ends every member of the same VM or with the same peer address.
    ///
    /// If a previous incarnation of the VM provided the same service, its units stay with the VM under a new fence.
    ///
    /// The writer guarantees that the processes of the ended members are gone, since their port was free, and that the
    /// grants of these processes have been revoked by the local upstream or have expired.
    Join(Join),
    /// Ends a member that has stopped serving and has stopped renewing the leases of others.
    ///
    /// The member guarantees that its upstream has revoked all grants or that they have expired.
    Leave {
        /// The member.
        vm: VmId,
        /// Incarnation of the member that ends.
        incarnation: Incarnation,
    },
    /// Moves units from their owner to another member.
    ///
    /// For each unit, the owner guarantees that its wait is over, that no request is running on it, and that its
    /// upstream has revoked the grant. Units that the owner no longer holds under the given fence are skipped, and the
    /// rest are moved.
    Move {
        /// Current owner.
        from: VmId,
        /// Incarnation of the current owner.
        incarnation: Incarnation,
        /// Next owner.
        to: VmId,
        /// Incarnation of the next owner.
        to_incarnation: Incarnation,
        /// State by unit that the next owner's upstream needs to continue where the current owner's upstream stopped.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        handovers: BTreeMap<Unit, String>,
        /// Units, with the fences under which the current owner holds them.
        units: Vec<UnitFence>,
    },
    /// Holds one part of a record that is longer than the log service accepts. The record takes effect at the offset of the
    /// part that completes it.
    Part {
        /// Index of the part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// Part of the text of the record.
        data: String,
    },
    /// Makes a hot key a unit of its own, owned by the owner of its shard.
    ///
    /// The owner already serves the shard. Requests for the key under the fence of the shard and requests under the
    /// fence of the pin can't run at two homes at once, because one home owns both. Before the owner moves the pin, it
    /// drains the requests for the key under either fence.
    Pin {
        /// Owner of the shard.
        vm: VmId,
        /// Incarnation of the owner.
        incarnation: Incarnation,
        /// Service of the key.
        service: ServiceId,
        /// The key.
        key: String,
    },
    /// Replaces a published document.
    Publish {
        /// Offset of the publication that this one replaces, or 0 for the first.
        base: Offset,
        /// The new document.
        document: Document,
    },
    /// Reports a request that was running when an upstream crashed.
    Quarantine {
        /// Member whose upstream crashed.
        vm: VmId,
        /// Instance of the upstream that crashed.
        upstream_instance: String,
        /// Fingerprint of the request.
        fingerprint: String,
        /// Workspace that sent the request.
        workspace: WorkspaceId,
        /// Whether the request ran alone as a suspect.
        alone: bool,
        /// Time of the crash plus `QUARANTINE_MS`, in milliseconds since the Unix epoch.
        expires_unix_ms: u64,
    },
    /// Requests new witnesses for a member, or releases its former ones once it has new ones.
    ///
    /// If the record releases former witnesses, the member guarantees that it has read which witnesses replace them,
    /// and that its lease no longer counts any answer of the former ones.
    Rewitness {
        /// The member.
        vm: VmId,
        /// Incarnation of the member.
        incarnation: Incarnation,
        /// Offset of the record that named the current witnesses.
        base: Offset,
    },
    /// Takes a step of the roll-out of a version of the upstreams of a service.
    ///
    /// It is based on the order at its position, and is rejected if a later order is in force or if the step does not
    /// follow the state of the roll-out. Of several deciders, the first in the log therefore takes effect.
    Rollout(RolloutRecord),
    /// Holds one part of a snapshot of the folded log.
    SnapshotChunk {
        /// Offset of the last record that the snapshot covers.
        through: Offset,
        /// Index of the part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// Content of the part.
        data: String,
    },
    /// Lists members whose leases a witness no longer renews.
    Suspect {
        /// The witness.
        vm: VmId,
        /// Incarnation of the witness.
        incarnation: Incarnation,
        /// Members that the witness suspects.
        suspicions: Vec<Suspicion>,
    },
    /// Unpins a key that is no longer hot and returns it to its shard, provided that one member owns both.
    ///
    /// If the owner received the pin because another member was lost, the pin has a wait that may not be over. The
    /// whole shard then gets a new fence and takes over that wait.
    Unpin {
        /// Owner of the key.
        vm: VmId,
        /// Incarnation of the owner.
        incarnation: Incarnation,
        /// Service of the key.
        service: ServiceId,
        /// The key.
        key: String,
    },
    /// Takes an upstream out of service, or returns it to service.
    Upstream {
        /// VM of the upstream.
        vm: VmId,
        /// Whether the upstream is out of service.
        drained: bool,
        /// Offset of the record that last changed the state of this upstream, or 0 for none.
        base: Offset,
    },
    /// Withdraws a tenant key permanently.
    WithdrawKey {
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Takes an availability zone out of service, or returns it to service.
    Zone {
        /// The zone.
        zone: ZoneId,
        /// Whether the zone is out of service.
        out: bool,
        /// Offset of the record that last changed the state of this zone, or 0 for none.
        base: Offset,
        /// Position up to which the writer had read the declarations that operators make outside this log, or 0 for a
        /// change made in the log itself.
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
