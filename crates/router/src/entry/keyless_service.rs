//! Routing state of one service without keys.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cluster::PendingZones;
use ids::Offset;
use ids::VmId;
use ids::ZoneId;
use policy::BalancedChooser;
use policy::Candidate;
use policy::Choice;
use policy::Chooser;
use policy::Completion;
use policy::ExpectedCompletion;
use policy::HedgePolicy;
use policy::HomeWork;
use policy::RequestKind;
use policy::RetryBudget;
use policy::RoundRobin;
use policy::Ticket;

use crate::entry::version_split::VersionSplit;
use crate::rollout::Rollouts;
use crate::rollout::VersionUse;
use crate::settings::ChooserKind;
use crate::settings::PolicySettings;
use crate::view::View;

/// Candidates, retry budget and hedging policies of one service without keys.
#[derive(Debug)]
pub(crate) struct KeylessService {
    candidates: Vec<Candidate>,
    chooser: Box<dyn Chooser + Send>,
    /// Next log offset of the fleet from which the candidates were taken.
    fleet_offset: Offset,
    /// Hedging policies by the target latency of the route, since the work of a request differs between routes.
    hedge_policies: BTreeMap<Duration, HedgePolicy>,
    next_ticket: Ticket,
    /// States of zones that the candidates were taken from besides the fleet.
    pending_zones: Arc<PendingZones>,
    pub(crate) retry_budget: RetryBudget,
    /// Roll-outs that the candidates were taken from besides the fleet.
    rollouts: Arc<Rollouts>,
    service: String,
    /// Division of the requests between versions, `None` before the first roll-out of the service.
    split: Option<VersionSplit>,
}

impl KeylessService {
    pub(crate) fn new(service: &str, zone: &ZoneId, seed: u64, policy: &PolicySettings) -> Self {
        let chooser: Box<dyn Chooser + Send> = match policy.chooser {
            ChooserKind::Balanced => {
                let chooser = BalancedChooser::new(zone.clone(), seed);
                Box::new(chooser.with_zone_distance(policy.zone_distance()))
            }
            ChooserKind::ExpectedCompletion => {
                let distance = policy.zone_distance();
                Box::new(ExpectedCompletion::new(zone.clone(), seed, distance))
            }
            ChooserKind::RoundRobin => Box::new(RoundRobin::default()),
        };
        Self {
            candidates: Vec::new(),
            chooser,
            fleet_offset: 0,
            hedge_policies: BTreeMap::new(),
            next_ticket: 0,
            pending_zones: Arc::default(),
            retry_budget: RetryBudget::new(policy.extra_percent()),
            rollouts: Arc::default(),
            service: service.to_owned(),
            split: None,
        }
    }

    /// Updates the candidates to the members that provide the service.
    pub(crate) fn update_candidates(&mut self, now: Duration, view: &View) {
        let View {
            fleet,
            pending_zones,
            rollouts,
            ..
        } = view;
        if self.fleet_offset == fleet.next_offset()
            && Arc::ptr_eq(&self.pending_zones, pending_zones)
            && Arc::ptr_eq(&self.rollouts, rollouts)
        {
            return;
        }
        self.fleet_offset = fleet.next_offset();
        self.pending_zones = Arc::clone(pending_zones);
        self.rollouts = Arc::clone(rollouts);
        let members = fleet.members().values();
        let members = members.filter(|member| {
            member.join.service == self.service
                && !pending_zones.is_zone_out(fleet, &member.join.zone)
                && !fleet.is_drained(&member.join.vm)
                && rollouts.version_use(member) != VersionUse::Nothing
        });
        let members: Vec<&cluster::Member> = members.collect();
        self.update_split(&members);
        let candidate = |member: &cluster::Member| Candidate {
            slots: member.join.slots,
            vm: member.join.vm.clone(),
            zone: member.join.zone.clone(),
        };
        let candidates: Vec<_> = members.into_iter().map(candidate).collect();
        if candidates != self.candidates {
            self.chooser.set_candidates(now, &candidates);
            for hedge in self.hedge_policies.values_mut() {
                hedge.set_upstreams(candidates.iter().map(|candidate| &candidate.vm));
            }
            self.candidates = candidates;
        }
    }

    /// Updates the division of the requests between versions to the members that may get some.
    fn update_split(&mut self, members: &[&cluster::Member]) {
        let Some(rollout) = self.rollouts.get(&self.service) else {
            self.split = None;
            return;
        };
        let vms = |of: VersionUse| -> BTreeSet<VmId> {
            let members = members.iter();
            let used = members.filter(|member| rollout.version_use(member) == of);
            used.map(|member| member.join.vm.clone()).collect()
        };
        let split = self.split.get_or_insert_with(|| VersionSplit::new(rollout));
        split.update(rollout, vms(VersionUse::Target), vms(VersionUse::Other));
    }

    /// Records an answer of the service.
    pub(crate) fn record_answer(&mut self) {
        if let Some(split) = &mut self.split {
            split.record_answer();
        }
    }

    /// Chooses a home outside `excluded`, of a version that the request may go to.
    pub(crate) fn choose(
        &mut self,
        now: Duration,
        excluded: &BTreeSet<VmId>,
        kind: &RequestKind,
    ) -> Option<Choice> {
        let Some(split) = &mut self.split else {
            return self.chooser.choose_for(now, excluded, kind);
        };
        let hidden = split.hide(excluded);
        let excluded = excluded.union(hidden).cloned().collect();
        self.chooser.choose_for(now, &excluded, kind)
    }

    /// Records that a request is sent to a home, and returns its ticket.
    pub(crate) fn record_start(&mut self, now: Duration, vm: &VmId, kind: &RequestKind) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.chooser.record_start_of(now, vm, ticket, kind);
        ticket
    }

    /// Records what a home states of its work.
    pub(crate) fn record_work(
        &mut self,
        now: Duration,
        vm: &VmId,
        kind: &RequestKind,
        work: HomeWork,
    ) {
        self.chooser.record_work(now, vm, kind, work);
    }

    /// Records that a home cannot start another request until a time.
    pub(crate) fn record_busy(&mut self, vm: &VmId, until: Duration) {
        self.chooser.record_busy(vm, until);
    }

    /// Records how a request ended. The latency of an answer also informs the hedging policy for the target latency of
    /// its route.
    pub(crate) fn record_completion(
        &mut self,
        now: Duration,
        vm: &VmId,
        ticket: Ticket,
        target_latency: Duration,
        completion: Completion,
    ) {
        self.chooser.record_completion(now, vm, ticket, completion);
        if let Completion::Answered { latency } = completion {
            self.hedge_policy(target_latency).observe(vm, latency);
        }
    }

    fn hedge_policy(&mut self, target_latency: Duration) -> &mut HedgePolicy {
        let candidates = &self.candidates;
        self.hedge_policies
            .entry(target_latency)
            .or_insert_with(|| {
                let mut hedge = HedgePolicy::default();
                hedge.set_upstreams(candidates.iter().map(|candidate| &candidate.vm));
                hedge
            })
    }

    /// Returns the names of all candidates that are not on trial.
    pub(crate) fn candidate_vms(&self) -> impl Iterator<Item = &VmId> {
        let trial = self.split.as_ref().and_then(VersionSplit::trial_members);
        let vms = self.candidates.iter().map(|candidate| &candidate.vm);
        vms.filter(move |vm| trial.is_none_or(|trial| !trial.contains(*vm)))
    }

    /// Returns the delay after which a second copy of an idempotent request is sent, given the target latency of its route.
    pub(crate) fn hedge_delay(&mut self, target_latency: Duration) -> Duration {
        self.hedge_policy(target_latency).delay()
    }
}
