//! Configuration that operators publish.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use config::KeyHash;
use config::Manifest;
use config::Plan;
use config::Plans;
use config::Workspaces;
use ids::Offset;
use ids::ServiceId;
use ids::VmId;
use ids::WorkspaceId;
use ids::ZoneId;
use serde::Deserialize;
use serde::Serialize;

use crate::Document;
use crate::availability::Availability;
use crate::availability::check_base_version;

/// Configuration that operators have published, with the versions in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Configuration {
    pub(crate) keys: BTreeMap<KeyHash, WorkspaceId>,
    pub(crate) plans: Plans,
    pub(crate) plans_version: Offset,
    /// Revision of the manifest in force, or 0 if documents are published separately.
    #[serde(default)]
    pub(crate) revision: u64,
    /// Shard counts of all services that were ever declared. A count never changes.
    shards: BTreeMap<ServiceId, u32>,
    upstreams: BTreeMap<VmId, Availability>,
    pub(crate) version: Offset,
    withdrawn: BTreeSet<KeyHash>,
    pub(crate) workspaces: Workspaces,
    pub(crate) workspaces_version: Offset,
    zones: BTreeMap<ZoneId, Availability>,
}

impl Configuration {
    pub(crate) fn publish(
        &mut self,
        offset: Offset,
        base: Offset,
        document: Document,
    ) -> Result<(), String> {
        match document {
            Document::Manifest(manifest) => self.publish_manifest(offset, *manifest)?,
            Document::Plans(plans) => self.publish_plans(offset, base, plans)?,
            Document::Workspaces(workspaces) => {
                self.publish_workspaces(offset, base, workspaces)?;
            }
        }
        self.version = offset;
        Ok(())
    }

    fn publish_manifest(&mut self, offset: Offset, manifest: Manifest) -> Result<(), String> {
        self.check_shards_stated(&manifest.plans)?;
        self.replace_manifest(manifest)?;
        self.plans_version = offset;
        self.workspaces_version = offset;
        Ok(())
    }

    /// Puts a manifest into force, and keeps the versions. Manifests are ordered by revision instead of by a base version.
    ///
    /// Services with numeric keys keep their registered numbers of shards. A declared manifest whose record is not in the log
    /// yet leaves the numbers of other services undecided.
    pub(crate) fn replace_manifest(&mut self, manifest: Manifest) -> Result<(), String> {
        if manifest.revision <= self.revision {
            return Err(format!(
                "revision {} is not greater than {}, which is in force: publish a higher revision",
                manifest.revision, self.revision
            ));
        }
        manifest.check().map_err(|error| error.to_string())?;
        let Manifest {
            mut plans,
            revision,
            workspaces,
        } = manifest;
        self.adopt_registered_shards(&mut plans);
        self.register_shards(&plans)?;
        let keys = workspaces.workspaces.iter();
        self.keys = keys
            .flat_map(|(name, workspace)| {
                let hashes = workspace.keys.iter();
                hashes.map(|hash| (hash.clone(), name.clone()))
            })
            .collect();
        self.withdrawn.clear();
        self.plans = plans;
        self.revision = revision;
        self.workspaces = workspaces;
        Ok(())
    }

    fn publish_plans(&mut self, offset: Offset, base: Offset, plans: Plans) -> Result<(), String> {
        check_base_version(base, self.plans_version)?;
        plans.check().map_err(|error| error.to_string())?;
        self.workspaces
            .check(&plans)
            .map_err(|error| error.to_string())?;
        self.check_shards_stated(&plans)?;
        self.register_shards(&plans)?;
        self.plans = plans;
        self.plans_version = offset;
        Ok(())
    }

    /// Returns the shard count of a service that was ever declared.
    pub(crate) fn registered_shards(&self, service: &str) -> Option<u32> {
        self.shards.get(service).copied()
    }

    /// Fails if the first record that declares a service with numeric keys does not state its shard count.
    fn check_shards_stated(&self, plans: &Plans) -> Result<(), String> {
        let mut services = plans.services.iter();
        let undecided = services.find(|(service, declared)| {
            declared.has_undecided_shards() && self.registered_shards(service).is_none()
        });
        match undecided {
            None => Ok(()),
            Some((service, _)) => Err(format!(
                "services.{service}.shards: the first declaration of a service with numeric keys must state a number"
            )),
        }
    }

    /// Gives services with numeric keys their registered shard counts. Processes may have published manifests with different
    /// counts at the same time; the first record decides.
    fn adopt_registered_shards(&self, plans: &mut Plans) {
        for (service, declared) in &mut plans.services {
            let registered = self.registered_shards(service);
            if let Some(registered) = registered.filter(|_| declared.numeric_keys.is_some()) {
                declared.shards = registered;
            }
        }
    }

    /// Records the shard count of each declared service, and fails if a known service changes its count.
    ///
    /// Another count would map keys to other units at once, while owners that have not read the record still serve
    /// them. The count of a service that is no longer declared is kept, since its owners also keep their units.
    fn register_shards(&mut self, plans: &Plans) -> Result<(), String> {
        for (service, declared) in &plans.services {
            let Some(registered) = self.shards.get(service) else {
                continue;
            };
            if *registered == 0 && declared.numeric_keys.is_some() {
                return Err(format!(
                    "services.{service}: was first declared without keys: declare a service under another name"
                ));
            }
            if *registered != declared.shards {
                return Err(format!(
                    "services.{service}.shards: was first declared as {registered} and cannot change \
                     to {}: declare a service under another name",
                    declared.shards
                ));
            }
        }
        let declared = plans.services.iter();
        self.shards
            .extend(declared.map(|(service, declared)| (service.clone(), declared.shards)));
        Ok(())
    }

    fn publish_workspaces(
        &mut self,
        offset: Offset,
        base: Offset,
        workspaces: Workspaces,
    ) -> Result<(), String> {
        check_base_version(base, self.workspaces_version)?;
        workspaces
            .check(&self.plans)
            .map_err(|error| error.to_string())?;
        self.workspaces = workspaces;
        self.workspaces_version = offset;
        Ok(())
    }

    pub(crate) fn issue_key(
        &mut self,
        offset: Offset,
        workspace: WorkspaceId,
        hash: KeyHash,
    ) -> Result<(), String> {
        if !hash.is_well_formed() {
            return Err("the key hash is not 64 hexadecimal digits: hash the key again".to_owned());
        }
        if self.withdrawn.contains(&hash) {
            return Err("the key was withdrawn: issue a new one".to_owned());
        }
        if !self.workspaces.workspaces.contains_key(&workspace) {
            return Err(format!(
                "workspace `{workspace}` is not declared: publish it first"
            ));
        }
        if let Some(owner) = self.keys.get(&hash)
            && *owner != workspace
        {
            return Err(format!(
                "the key belongs to workspace `{owner}`: issue another key"
            ));
        }
        self.keys.insert(hash, workspace);
        self.version = offset;
        Ok(())
    }

    pub(crate) fn withdraw_key(&mut self, offset: Offset, hash: KeyHash) -> Result<(), String> {
        if !hash.is_well_formed() {
            return Err("the key hash is not 64 hexadecimal digits: hash the key again".to_owned());
        }
        self.keys.remove(&hash);
        self.withdrawn.insert(hash);
        self.version = offset;
        Ok(())
    }

    pub(crate) fn set_zone(
        &mut self,
        offset: Offset,
        base: Offset,
        zone: ZoneId,
        out: bool,
        position: Offset,
    ) -> Result<(), String> {
        let mut availability = self.zone(&zone);
        match position {
            0 => availability.set(offset, base, out)?,
            position => availability.declare(offset, base, out, position)?,
        }
        self.zones.insert(zone, availability);
        self.version = offset;
        Ok(())
    }

    pub(crate) fn set_upstream(
        &mut self,
        offset: Offset,
        base: Offset,
        vm: VmId,
        drained: bool,
    ) -> Result<(), String> {
        let mut availability = self.upstream(&vm);
        availability.set(offset, base, drained)?;
        self.upstreams.insert(vm, availability);
        self.version = offset;
        Ok(())
    }

    pub(crate) fn zones_out(&self) -> impl Iterator<Item = &ZoneId> {
        let zones = self.zones.iter();
        zones
            .filter(|(_, availability)| availability.out)
            .map(|(zone, _)| zone)
    }

    pub(crate) fn zone(&self, zone: &str) -> Availability {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    pub(crate) fn upstream(&self, vm: &str) -> Availability {
        self.upstreams.get(vm).copied().unwrap_or_default()
    }

    pub(crate) fn plan_of(&self, workspace: &str) -> Option<&Plan> {
        let workspace = self.workspaces.workspaces.get(workspace)?;
        self.plans.plans.get(&workspace.plan)
    }

    /// Reports whether a tenant key was withdrawn.
    pub(crate) fn is_withdrawn(&self, hash: &KeyHash) -> bool {
        self.withdrawn.contains(hash)
    }

    pub(crate) fn has_key(&self, prefix: &str) -> bool {
        let from = Bound::Included(prefix);
        let mut keys = self.keys.range::<str, _>((from, Bound::Unbounded));
        keys.next()
            .is_some_and(|(hash, _)| hash.as_str().starts_with(prefix))
    }

    pub(crate) fn workspace_of(&self, hash: &KeyHash) -> Option<&WorkspaceId> {
        self.keys
            .get_key_value(hash)
            .filter(|(known, _)| known.matches(hash))
            .map(|(_, workspace)| workspace)
    }
}
