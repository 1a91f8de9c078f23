//! Credits of this entry for requests with keys whose owners are on trial.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cluster::VersionRole;
use ids::ServiceId;
use ids::VmId;

use crate::rollout::ServiceRollout;
use crate::rollout::TrialCredit;
use crate::view::View;

/// Credits of this entry for requests with keys whose owners are on trial, by service.
///
/// The units on trial are few, but they may be the busiest ones. The credits bound the requests that they bring.
#[derive(Debug, Default)]
pub(crate) struct TrialCredits(Mutex<BTreeMap<ServiceId, TrialCredit>>);

impl TrialCredits {
    /// Records an answer of a service with keys.
    pub(crate) fn record_answer(&self, view: &View, service: &ServiceId) {
        if let Some(rollout) = view.rollouts.get(service) {
            let mut credits = self.lock();
            credit_of(&mut credits, service, rollout).record_answer(rollout.max_share);
        }
    }

    /// Reports whether a request may be sent to the owner of its key, and takes the credit for it if the owner is on trial.
    pub(crate) fn try_take(&self, view: &View, service: &ServiceId, owner: &VmId) -> bool {
        let Some(rollout) = view.rollouts.get(service) else {
            return true;
        };
        let member = view.fleet.members().get(owner);
        if member.is_none_or(|member| rollout.role(member) != VersionRole::Trial) {
            return true;
        }
        credit_of(&mut self.lock(), service, rollout).try_take()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, TrialCredit>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn credit_of<'a>(
    credits: &'a mut BTreeMap<ServiceId, TrialCredit>,
    service: &ServiceId,
    rollout: &ServiceRollout,
) -> &'a mut TrialCredit {
    if !credits.contains_key(service) {
        credits.insert(service.clone(), TrialCredit::new(rollout));
    }
    let credit = credits.get_mut(service).expect("inserted if absent");
    credit.update(rollout);
    credit
}
