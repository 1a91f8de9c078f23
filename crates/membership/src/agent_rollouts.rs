//! Orders of roll-outs, and the share of the traffic that is on trial.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::Body;
use cluster::RolloutOrder;
use cluster::RolloutRecord;
use cluster::RolloutStep;
use ids::ServiceId;

use crate::Action;
use crate::Agent;

impl Agent {
    /// Returns the newest order of a roll-out of each service that operators have declared.
    pub fn declared_rollouts(&self) -> &BTreeMap<ServiceId, RolloutOrder> {
        &self.declarations.rollouts
    }

    /// Sets the share of the shards that are on trial, and plans moves soon if it has changed.
    pub(crate) fn set_trial_share(&mut self, share: f64) {
        if self.loads.trial_share != share {
            self.loads.trial_share = share;
            self.schedule.last_move_plan = None;
        }
    }

    /// Returns the orders that the log has not handled and may accept. None before the declared manifest is published, since
    /// the log refuses an order of a service that it does not know.
    pub(crate) fn unpublished_rollouts(&self) -> Vec<(ServiceId, RolloutOrder)> {
        if self.unpublished_revision().is_some() {
            return Vec::new();
        }
        let declared = self.declarations.rollouts.iter();
        declared
            .filter(|(service, order)| self.is_unhandled(service, order))
            .map(|(service, order)| (service.clone(), order.clone()))
            .collect()
    }

    fn is_unhandled(&self, service: &ServiceId, order: &RolloutOrder) -> bool {
        let handled = self.log.fleet().rollout(service);
        let handled = handled.map_or(0, |rollout| rollout.handled_position);
        let rejected = self.rejected_declarations.rollouts.get(service);
        self.cfg.rollouts_enabled && order.position > handled && rejected != Some(&order.position)
    }

    /// Appends an order, in place of an earlier one that is still pending.
    pub(crate) fn publish_rollout(
        &mut self,
        now: Duration,
        service: ServiceId,
        order: RolloutOrder,
        actions: &mut Vec<Action>,
    ) {
        let position = order.position;
        if self
            .appends
            .any(|body| ordered_position(body, &service) == Some(position))
        {
            return;
        }
        self.appends
            .drop_where(|body| ordered_position(body, &service).is_some());
        let step = RolloutStep::Ordered {
            target_version: order.target_version,
            duration_ms: order.duration_ms,
            ordered_unix_ms: order.ordered_unix_ms,
        };
        let body = Body::Rollout(RolloutRecord {
            service,
            position,
            step,
        });
        self.appends.append(now, body, actions);
    }

    /// Appends the order of the version of the local upstream if the log has not handled it. Reports whether the process must
    /// not join before that, since its version would count as one in force. The first members of a fleet join, as the first
    /// manifest is left to them.
    pub(crate) fn must_publish_own_rollout(
        &mut self,
        now: Duration,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(accepted) = self.upstream.accepted() else {
            return false;
        };
        let service = &accepted.service;
        let declared = self.declarations.rollouts.get(service);
        let Some(order) = declared.filter(|order| {
            order.target_version == accepted.version && self.is_unhandled(service, order)
        }) else {
            return false;
        };
        if self.unpublished_revision().is_some() {
            return self.log.fleet().revision() > 0;
        }
        let (service, order) = (service.clone(), order.clone());
        if self.log.is_healthy(now) {
            self.publish_rollout(now, service, order, actions);
        }
        true
    }
}

/// Returns the position of the order that a record states for a service.
fn ordered_position(body: &Body, of: &ServiceId) -> Option<u64> {
    match body {
        Body::Rollout(RolloutRecord {
            service,
            position,
            step: RolloutStep::Ordered { .. },
        }) if service == of => Some(*position),
        _ => None,
    }
}
