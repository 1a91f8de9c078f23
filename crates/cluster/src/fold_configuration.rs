//! Effects of configuration, quarantine and snapshot records.

use config::KeyHash;
use ids::BUCKETS_PER_WORKSPACE;
use ids::Offset;
use ids::Unit;
use ids::VmId;
use ids::WorkspaceId;
use ids::ZoneId;

use crate::Change;
use crate::Document;
use crate::Fleet;
use crate::quarantine::CrashReport;
use crate::snapshot_progress::MAX_PARTS;

impl Fleet {
    pub(crate) fn publish(
        &mut self,
        offset: Offset,
        base: Offset,
        document: Document,
    ) -> Result<Vec<Change>, String> {
        self.configuration.publish(offset, base, document)?;
        self.add_declared_units();
        Ok(self.apply_configuration_change(offset))
    }

    fn add_declared_units(&mut self) {
        for (service, declared) in &self.configuration.plans.services {
            for index in 0..declared.shards {
                self.units.add(Unit::Shard {
                    service: service.clone(),
                    index,
                });
            }
        }
        for workspace in self.configuration.workspaces.workspaces.keys() {
            for index in 0..BUCKETS_PER_WORKSPACE {
                self.units.add(Unit::Bucket {
                    workspace: workspace.clone(),
                    index,
                });
            }
        }
    }

    fn apply_configuration_change(&mut self, version: Offset) -> Vec<Change> {
        let mut changes = vec![Change::ConfigurationChanged { version }];
        self.assign_unowned(version, &mut changes);
        changes
    }

    pub(crate) fn issue_key(
        &mut self,
        offset: Offset,
        workspace: WorkspaceId,
        hash: KeyHash,
    ) -> Result<Vec<Change>, String> {
        self.configuration.issue_key(offset, workspace, hash)?;
        Ok(vec![Change::ConfigurationChanged { version: offset }])
    }

    pub(crate) fn withdraw_key(
        &mut self,
        offset: Offset,
        hash: KeyHash,
    ) -> Result<Vec<Change>, String> {
        self.configuration.withdraw_key(offset, hash)?;
        Ok(vec![Change::ConfigurationChanged { version: offset }])
    }

    pub(crate) fn set_zone(
        &mut self,
        offset: Offset,
        base: Offset,
        zone: ZoneId,
        out: bool,
        position: Offset,
    ) -> Result<Vec<Change>, String> {
        self.configuration
            .set_zone(offset, base, zone, out, position)?;
        Ok(self.apply_configuration_change(offset))
    }

    pub(crate) fn set_upstream(
        &mut self,
        offset: Offset,
        base: Offset,
        vm: VmId,
        drained: bool,
    ) -> Result<Vec<Change>, String> {
        self.configuration.set_upstream(offset, base, vm, drained)?;
        Ok(self.apply_configuration_change(offset))
    }

    pub(crate) fn add_quarantine(&mut self, crash: CrashReport) -> Result<Vec<Change>, String> {
        let fingerprint = crash.fingerprint.clone();
        let state = self.quarantine.add(crash);
        Ok(vec![Change::RequestQuarantined { fingerprint, state }])
    }

    pub(crate) fn clear_quarantine(&mut self, fingerprint: String) -> Result<Vec<Change>, String> {
        if !self.quarantine.clear(&fingerprint) {
            return Err(format!("no request `{fingerprint}` is in quarantine"));
        }
        Ok(vec![Change::QuarantineCleared { fingerprint }])
    }

    pub(crate) fn snapshot_chunk(
        &mut self,
        offset: Offset,
        writer: &str,
        through: Offset,
        part: u32,
        parts: u32,
    ) -> Result<Vec<Change>, String> {
        if part >= parts || parts > MAX_PARTS || through >= offset {
            return Err(format!(
                "part {part} of {parts} through offset {through} does not belong to a valid snapshot"
            ));
        }
        let completed = self.progress.add_part(writer, through, part, parts);
        Ok(completed
            .then_some(Change::SnapshotCompleted { through })
            .into_iter()
            .collect())
    }
}
