//! Effects of records of roll-outs.

use std::collections::BTreeSet;

use ids::Offset;
use ids::ServiceId;
use ids::UpstreamVersion;

use crate::Change;
use crate::Fleet;
use crate::Join;
use crate::Rollout;
use crate::RolloutOrder;
use crate::RolloutRecord;
use crate::RolloutState;
use crate::RolloutStep;
use crate::VersionRole;
use crate::plan_pins::service_members;

impl Fleet {
    pub(crate) fn roll_out(
        &mut self,
        offset: Offset,
        record: RolloutRecord,
    ) -> Result<Vec<Change>, String> {
        let RolloutRecord {
            service,
            position,
            step,
        } = record;
        let (state, reason) = match step {
            RolloutStep::Ordered {
                target_version,
                duration_ms,
                ordered_unix_ms,
            } => {
                let order = RolloutOrder {
                    duration_ms,
                    ordered_unix_ms,
                    position,
                    target_version,
                };
                return self.order_rollout(offset, service, order);
            }
            RolloutStep::Published { state } => {
                return self.record_publication(&service, position, state);
            }
            RolloutStep::Promoted => (RolloutState::Promoting, None),
            RolloutStep::Completed => (RolloutState::Completed, None),
            RolloutStep::RolledBack { reason } => (RolloutState::RolledBack, Some(reason)),
        };
        self.advance_rollout(offset, &service, position, state, reason)
    }

    fn order_rollout(
        &mut self,
        offset: Offset,
        service: ServiceId,
        order: RolloutOrder,
    ) -> Result<Vec<Change>, String> {
        let mut changes = Vec::new();
        let refusal = self.refusal_of(&service, &order);
        if let Some(earlier) = self.rollouts.get_mut(&service) {
            if order.position <= earlier.handled_position {
                return Err(format!(
                    "the order at position {} is not newer than the one at position {}",
                    order.position, earlier.handled_position
                ));
            }
            if !earlier.state.is_ended() {
                let target = &order.target_version;
                let earlier_position = earlier.order.position;
                if order.is_repetition_of(&earlier.order) {
                    // The position counts as handled, so that the repetition begins no trial after the end of this one.
                    earlier.handled_position = order.position;
                    return Err(format!(
                        "the order at position {} repeats the one at position {earlier_position}, which is being \
                         carried out",
                        order.position
                    ));
                }
                if let Some(refusal) = refusal {
                    // An order that can't be carried out must not stop the one before it.
                    earlier.handled_position = order.position;
                    earlier.reason = Some(format!(
                        "the later order of version `{target}` at position {} was refused: {refusal}",
                        order.position
                    ));
                    earlier.published = None;
                    return Ok(vec![change(&service, earlier)]);
                }
                changes.push(Change::RolloutChanged {
                    position: earlier_position,
                    service: service.clone(),
                    state: RolloutState::RolledBack,
                });
            }
        }
        let rollout = self.first_state(&service, order, refusal);
        changes.push(change(&service, &rollout));
        self.rollouts.insert(service, rollout);
        self.assign_unowned(offset, &mut changes);
        Ok(changes)
    }

    /// Returns why an order cannot be carried out, or `None` if it can.
    fn refusal_of(&self, service: &str, order: &RolloutOrder) -> Option<String> {
        if !self.plans().services.contains_key(service) {
            return Some(format!("service `{service}` is not declared"));
        }
        (order.duration_ms == 0).then(|| "the duration is 0".to_owned())
    }

    /// Returns the roll-out that an order begins, and ends at once if it is refused or leaves nothing to do.
    fn first_state(
        &self,
        service: &ServiceId,
        order: RolloutOrder,
        refusal: Option<String>,
    ) -> Rollout {
        let earlier = self.rollouts.get(service);
        let mut rollout = Rollout {
            handled_position: order.position,
            order,
            state: RolloutState::Trial,
            reason: None,
            replaced_versions: BTreeSet::new(),
            published: None,
        };
        if refusal.is_some() {
            // The target may be the version in force, and a refused order changes nothing.
            rollout.replaced_versions = earlier
                .map(|earlier| earlier.replaced_versions.clone())
                .unwrap_or_default();
            rollout.state = RolloutState::RolledBack;
            rollout.reason = refusal;
            return rollout;
        }
        rollout.replaced_versions = self.withdrawn_versions(service, &rollout.order);
        rollout.reason = earlier
            .filter(|earlier| !earlier.state.is_ended())
            .map(|earlier| {
                format!(
                    "the order replaces that of version `{}` at position {}, which counts as rolled back",
                    earlier.order.target_version, earlier.order.position
                )
            });
        let target = &rollout.order.target_version;
        let versions = self.versions_of(service);
        let is_in_force = versions.contains(target)
            && versions
                .iter()
                .all(|version| version == target || rollout.replaced_versions.contains(version));
        if is_in_force {
            rollout.state = RolloutState::Completed;
        }
        rollout
    }

    /// Returns the versions that get nothing during the trial of a new order: those of members that got nothing before
    /// it, and the target of an earlier order that had not ended.
    ///
    /// A version that was judged to be faulty, or was not judged to its end, must not get the traffic because another
    /// one goes on trial while its upstreams still run. The exclusions end if no other version would be left.
    fn withdrawn_versions(
        &self,
        service: &ServiceId,
        order: &RolloutOrder,
    ) -> BTreeSet<UpstreamVersion> {
        let Some(earlier) = self.rollouts.get(service) else {
            return BTreeSet::new();
        };
        let gets_nothing = |version: &UpstreamVersion| {
            let is_unjudged = !earlier.state.is_ended() && *version == earlier.order.target_version;
            is_unjudged || earlier.replaced_versions.contains(version)
        };
        let mut versions = self.versions_of(service);
        let has_other = versions.iter().any(|version| !gets_nothing(version));
        versions.retain(|version| {
            has_other && gets_nothing(version) && *version != order.target_version
        });
        versions
    }

    /// Returns the versions that members of a service have.
    fn versions_of(&self, service: &ServiceId) -> BTreeSet<UpstreamVersion> {
        let members = service_members(self, service);
        members.map(|member| member.join.version.clone()).collect()
    }

    fn advance_rollout(
        &mut self,
        offset: Offset,
        service: &ServiceId,
        position: Offset,
        next: RolloutState,
        reason: Option<String>,
    ) -> Result<Vec<Change>, String> {
        let mut versions = self.versions_of(service);
        let rollout = self.rollout_at(service, position)?;
        let is_valid = matches!(
            (rollout.state, next),
            (RolloutState::Trial, RolloutState::Promoting)
                | (RolloutState::Promoting, RolloutState::Completed)
                | (
                    RolloutState::Trial | RolloutState::Promoting,
                    RolloutState::RolledBack
                )
        );
        if !is_valid {
            return Err(format!(
                "the roll-out of `{service}` at position {position} is {:?} and cannot become {next:?}",
                rollout.state
            ));
        }
        rollout.state = next;
        rollout.reason = reason.or(rollout.reason.take());
        let target = &rollout.order.target_version;
        match next {
            RolloutState::Completed => {
                versions.remove(target);
                rollout.replaced_versions.extend(versions);
            }
            RolloutState::RolledBack => {
                rollout.replaced_versions.insert(target.clone());
            }
            RolloutState::Trial | RolloutState::Promoting => {}
        }
        let mut changes = vec![change(service, rollout)];
        self.assign_unowned(offset, &mut changes);
        Ok(changes)
    }

    /// Records that the status of a state has been written. The status of the present state is not written again because
    /// of a record of an earlier state that follows later.
    fn record_publication(
        &mut self,
        service: &str,
        position: Offset,
        state: RolloutState,
    ) -> Result<Vec<Change>, String> {
        let rollout = self.rollout_at(service, position)?;
        if rollout.published != Some(rollout.state) {
            rollout.published = Some(state);
        }
        Ok(Vec::new())
    }

    fn rollout_at(&mut self, service: &str, position: Offset) -> Result<&mut Rollout, String> {
        let rollout = self.rollouts.get_mut(service);
        rollout
            .filter(|rollout| rollout.order.position == position)
            .ok_or_else(|| {
                format!("the order of `{service}` at position {position} is not the last one")
            })
    }

    /// Reports whether a VM keeps its units when its upstream returns with another version than before.
    ///
    /// It does not while a roll-out of the service has not ended, or if the new version gets nothing.
    pub(crate) fn keeps_units(&self, former: &Join, join: &Join) -> bool {
        let Some(rollout) = self.rollout(&join.service) else {
            return true;
        };
        former.version == join.version
            || (rollout.state.is_ended()
                && rollout.version_role(&join.version) == VersionRole::Current)
    }
}

fn change(service: &ServiceId, rollout: &Rollout) -> Change {
    Change::RolloutChanged {
        position: rollout.order.position,
        service: service.clone(),
        state: rollout.state,
    }
}
