//! Application of log records to the state of the fleet.

use ids::Offset;

use crate::Body;
use crate::Change;
use crate::Fleet;
use crate::Outcome;
use crate::Record;
use crate::quarantine::CrashReport;

impl Fleet {
    /// Applies the record at `offset`. Records must be applied in log order and without gaps.
    ///
    /// A record below `next_offset` was applied before and changes nothing.
    pub fn apply(&mut self, offset: Offset, bytes: &[u8]) -> Outcome {
        if offset < self.next_offset {
            return Outcome::Repeated;
        }
        self.next_offset = offset + 1;
        let record = match serde_json::from_slice::<Record>(bytes) {
            Ok(record) => record,
            Err(error) => return Outcome::Rejected(format!("invalid record: {error}")),
        };
        if self.recent.is_repeated(offset, &record.id) {
            return Outcome::Repeated;
        }
        let record = match self.incomplete.add(offset, record) {
            Ok(Some(record)) => record,
            Ok(None) => return Outcome::Incomplete,
            Err(reason) => return Outcome::Rejected(reason),
        };
        self.recent.insert(offset, &record.id);
        match self.apply_body(offset, &record.writer, record.body) {
            Ok(changes) => Outcome::Applied(changes),
            Err(reason) => Outcome::Rejected(reason),
        }
    }

    fn apply_body(
        &mut self,
        offset: Offset,
        writer: &str,
        body: Body,
    ) -> Result<Vec<Change>, String> {
        match body {
            Body::ClearQuarantine { fingerprint } => self.clear_quarantine(fingerprint),
            Body::DeclareLost { vm, incarnation } => self.declare_lost(offset, &vm, incarnation),
            Body::IssueKey { workspace, hash } => self.issue_key(offset, workspace, hash),
            Body::Join(join) => self.join(offset, join),
            Body::Leave { vm, incarnation } => self.leave(offset, &vm, incarnation),
            Body::Move {
                from,
                incarnation,
                to,
                to_incarnation,
                handovers,
                units,
            } => {
                let to = (&to, to_incarnation);
                self.move_units(offset, (&from, incarnation), to, &units, &handovers)
            }
            Body::Part { .. } => Err("a record in parts is a part itself".to_owned()),
            Body::Pin {
                vm,
                incarnation,
                service,
                key,
            } => self.pin(offset, &vm, incarnation, service, key),
            Body::Publish { base, document } => self.publish(offset, base, document),
            Body::Quarantine {
                upstream_instance,
                fingerprint,
                workspace,
                alone,
                expires_unix_ms,
                ..
            } => self.add_quarantine(CrashReport {
                alone,
                expires_unix_ms,
                fingerprint,
                upstream_instance,
                workspace,
            }),
            Body::Rewitness {
                vm,
                incarnation,
                base,
            } => self.rewitness(offset, &vm, incarnation, base),
            Body::Rollout(record) => self.roll_out(offset, record),
            Body::SnapshotChunk {
                through,
                part,
                parts,
                ..
            } => self.snapshot_chunk(offset, writer, through, part, parts),
            Body::Suspect {
                vm,
                incarnation,
                suspicions,
            } => self.suspect(offset, &vm, incarnation, &suspicions),
            Body::Unpin {
                vm,
                incarnation,
                service,
                key,
            } => self.unpin(offset, &vm, incarnation, service, key),
            Body::Upstream { vm, drained, base } => self.set_upstream(offset, base, vm, drained),
            Body::WithdrawKey { hash } => self.withdraw_key(offset, hash),
            Body::Zone {
                zone,
                out,
                base,
                position,
            } => self.set_zone(offset, base, zone, out, position),
        }
    }
}
