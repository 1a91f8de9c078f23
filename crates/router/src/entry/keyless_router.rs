//! Routing of requests of services without keys.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use ids::ServiceId;
use ids::VmId;
use policy::AdmittedRequest;
use policy::Choice;
use policy::Refusal;
use policy::RequestKind;
use policy::SuspicionLevel;
use policy::isolation_home;
use wire::Answer;
use wire::Dispatch;

use crate::clock::unix_ms;
use crate::entry::HomeClient;
use crate::entry::keyless_request::KeylessRequest;
use crate::entry::keyless_service::KeylessService;
use crate::entry::target::Target;
use crate::quarantine::suspicion_level;

/// Sends requests of services without keys to the homes that the chooser of each service picks.
pub(crate) struct KeylessRouter {
    pub(crate) home_client: Arc<HomeClient>,
    seed: u64,
    services: Mutex<BTreeMap<ServiceId, KeylessService>>,
}

impl KeylessRouter {
    pub(crate) fn new(home_client: Arc<HomeClient>, seed: u64) -> Self {
        Self {
            home_client,
            seed,
            services: Mutex::default(),
        }
    }

    /// Sends a request, and retries or hedges it where that is safe and within the retry budget.
    pub(crate) async fn run(
        &self,
        admitted: AdmittedRequest,
        dispatch: Dispatch,
    ) -> Result<Answer, Refusal> {
        self.with_service(&dispatch.service, |service| service.retry_budget.deposit());
        KeylessRequest::new(self, dispatch).run(admitted).await
    }

    /// Calls `use_service` with the state of a service, after updating its candidates from the fleet.
    pub(crate) fn with_service<T>(
        &self,
        name: &str,
        use_service: impl FnOnce(&mut KeylessService) -> T,
    ) -> T {
        let shared = &self.home_client.shared;
        let view = shared.view();
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let service = services
            .entry(name.to_owned())
            .or_insert_with(|| KeylessService::new(name, &shared.zone, self.seed, &shared.policy));
        service.update_candidates(shared.clock.now(), &view);
        use_service(service)
    }

    /// Returns a home outside `excluded`, or any home if all are excluded, with the reason for the choice.
    pub(crate) fn choose_target(
        &self,
        dispatch: &Dispatch,
        kind: &RequestKind,
        excluded: &BTreeSet<VmId>,
    ) -> Option<(Target, String)> {
        let fleet = &self.home_client.shared.view().fleet;
        if self.is_suspect(dispatch) {
            let vm = self.with_service(&dispatch.service, |service| {
                isolation_home(&dispatch.fingerprint, service.candidate_vms()).cloned()
            })?;
            return Some((Target::member(fleet, &vm)?, "isolated".to_owned()));
        }
        let mut excluded = excluded.clone();
        let mut choice = self.choose(dispatch, kind, &excluded)?;
        if self.home_client.links.is_silent(&choice.vm) && excluded.insert(choice.vm.clone()) {
            choice = self.choose(dispatch, kind, &excluded)?;
        }
        let reason = format!("{:?}", choice.reason).to_lowercase();
        Some((Target::member(fleet, &choice.vm)?, reason))
    }

    fn choose(
        &self,
        dispatch: &Dispatch,
        kind: &RequestKind,
        excluded: &BTreeSet<VmId>,
    ) -> Option<Choice> {
        let now = self.home_client.shared.clock.now();
        self.with_service(&dispatch.service, |service| {
            let choice = service.choose(now, excluded, kind);
            choice.or_else(|| service.choose(now, &BTreeSet::new(), kind))
        })
    }

    /// Reports whether requests with the same fingerprint are suspected of crashing upstreams.
    pub(crate) fn is_suspect(&self, dispatch: &Dispatch) -> bool {
        let view = self.home_client.shared.view();
        suspicion_level(&view.fleet, &dispatch.fingerprint, unix_ms())
            == Some(SuspicionLevel::Suspect)
    }
}
