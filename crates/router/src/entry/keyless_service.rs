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
    service: String,
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
            service: service.to_owned(),
        }
    }

    /// Updates the candidates to the members that provide the service.
    pub(crate) fn update_candidates(&mut self, now: Duration, view: &View) {
        let View {
            fleet,
            pending_zones,
            ..
        } = view;
        if self.fleet_offset == fleet.next_offset()
            && Arc::ptr_eq(&self.pending_zones, pending_zones)
        {
            return;
        }
        self.fleet_offset = fleet.next_offset();
        self.pending_zones = Arc::clone(pending_zones);
        let members = fleet.members().values();
        let members = members.filter(|member| {
            member.join.service == self.service && pending_zones.is_candidate(fleet, member)
        });
        let candidate = |member: &cluster::Member| Candidate {
            slots: member.join.slots,
            vm: member.join.vm.clone(),
            zone: member.join.zone.clone(),
        };
        let candidates: Vec<_> = members.map(candidate).collect();
        if candidates != self.candidates {
            self.chooser.set_candidates(now, &candidates);
            for hedge in self.hedge_policies.values_mut() {
                hedge.set_upstreams(candidates.iter().map(|candidate| &candidate.vm));
            }
            self.candidates = candidates;
        }
    }

    /// Chooses a home outside `excluded`.
    pub(crate) fn choose(
        &mut self,
        now: Duration,
        excluded: &BTreeSet<VmId>,
        kind: &RequestKind,
    ) -> Option<Choice> {
        self.chooser.choose_for(now, excluded, kind)
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

    /// Returns the names of all candidates.
    pub(crate) fn candidate_vms(&self) -> impl Iterator<Item = &VmId> {
        self.candidates.iter().map(|candidate| &candidate.vm)
    }

    /// Returns the delay after which a second copy of an idempotent request is sent, given the target latency of its route.
    pub(crate) fn hedge_delay(&mut self, target_latency: Duration) -> Duration {
        self.hedge_policy(target_latency).delay()
    }
}
