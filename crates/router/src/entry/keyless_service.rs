//! Choice of a home for requests of one service without keys.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cluster::Fleet;
use ids::Offset;
use ids::VmId;
use ids::ZoneId;
use policy::BalancedChooser;
use policy::Candidate;
use policy::Choice;
use policy::Chooser;
use policy::Completion;
use policy::HedgePolicy;
use policy::RetryBudget;
use policy::RoundRobin;
use policy::Ticket;

use crate::settings::ChooserKind;
use crate::settings::PolicySettings;

/// Choice of a home for requests of one service without keys.
#[derive(Debug)]
pub(crate) struct KeylessService {
    pub(crate) budget: RetryBudget,
    candidates: Vec<Candidate>,
    chooser: Box<dyn Chooser + Send>,
    /// When to hedge, by the target latency of the route, since routes differ in their work.
    hedges: BTreeMap<Duration, HedgePolicy>,
    next_ticket: Ticket,
    read: Offset,
    service: String,
}

impl KeylessService {
    pub(crate) fn new(service: &str, zone: &ZoneId, seed: u64, policy: &PolicySettings) -> Self {
        let chooser: Box<dyn Chooser + Send> = match policy.chooser {
            ChooserKind::Balanced => {
                let choice = BalancedChooser::new(zone.clone(), seed);
                Box::new(choice.with_zone_distance(policy.zone_distance()))
            }
            ChooserKind::RoundRobin => Box::new(RoundRobin::default()),
        };
        Self {
            budget: RetryBudget::new(policy.extra_percent()),
            candidates: Vec::new(),
            chooser,
            hedges: BTreeMap::new(),
            next_ticket: 0,
            read: 0,
            service: service.to_owned(),
        }
    }

    /// Takes in which members provide the service.
    pub(crate) fn learn(&mut self, now: Duration, fleet: &Fleet) {
        if self.read == fleet.next_offset() {
            return;
        }
        self.read = fleet.next_offset();
        let members = fleet.members().values();
        let members = members
            .filter(|member| member.join.service == self.service && fleet.is_candidate(member));
        let candidate = |member: &cluster::Member| Candidate {
            slots: member.join.slots,
            vm: member.join.vm.clone(),
            zone: member.join.zone.clone(),
        };
        let candidates: Vec<_> = members.map(candidate).collect();
        if candidates != self.candidates {
            self.chooser.set_candidates(now, &candidates);
            for hedge in self.hedges.values_mut() {
                hedge.set_upstreams(candidates.iter().map(|candidate| &candidate.vm));
            }
            self.candidates = candidates;
        }
    }

    /// Chooses a home outside `excluded`.
    pub(crate) fn choose(&mut self, now: Duration, excluded: &BTreeSet<VmId>) -> Option<Choice> {
        self.chooser.choose(now, excluded)
    }

    /// Notes that a request goes to a home, and returns its identity.
    pub(crate) fn start(&mut self, now: Duration, vm: &VmId) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.chooser.record_start(now, vm, ticket);
        ticket
    }

    /// Takes in how a request ended whose route has the target latency `target`.
    pub(crate) fn end(
        &mut self,
        now: Duration,
        vm: &VmId,
        ticket: Ticket,
        target: Duration,
        completion: Completion,
    ) {
        self.chooser.record_completion(now, vm, ticket, completion);
        if let Completion::Answered { latency } = completion {
            self.hedge(target).observe(vm, latency);
        }
    }

    fn hedge(&mut self, target: Duration) -> &mut HedgePolicy {
        let candidates = &self.candidates;
        self.hedges.entry(target).or_insert_with(|| {
            let mut hedge = HedgePolicy::default();
            hedge.set_upstreams(candidates.iter().map(|candidate| &candidate.vm));
            hedge
        })
    }

    /// Returns the names of all candidates.
    pub(crate) fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.candidates.iter().map(|candidate| &candidate.vm)
    }

    /// Returns the time after which a second copy of an idempotent request is sent whose route has the target latency
    /// `target`.
    pub(crate) fn hedge_delay(&mut self, target: Duration) -> Duration {
        self.hedge(target).delay()
    }
}
