//! Requests of services without keys.

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

/// Sends requests of services without keys to the homes that serve them best.
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

    /// Sends a request, and sends it again where that is safe and within the budget.
    pub(crate) async fn run(
        &self,
        admitted: AdmittedRequest,
        dispatch: Dispatch,
        attempts: Option<u32>,
    ) -> Result<Answer, Refusal> {
        self.with(&dispatch.service, |service| service.budget.deposit());
        KeylessRequest::new(self, dispatch, attempts)
            .run(admitted)
            .await
    }

    /// Uses what is known of a service, with the members that provide it at present.
    pub(crate) fn with<T>(
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
        service.learn(shared.clock.now(), &view.fleet);
        use_service(service)
    }

    /// Chooses a home outside `excluded`, or outside none when all are excluded.
    pub(crate) fn target(
        &self,
        dispatch: &Dispatch,
        excluded: &BTreeSet<VmId>,
    ) -> Option<(Target, String)> {
        let fleet = &self.home_client.shared.view().fleet;
        if self.is_suspect(dispatch) {
            let vm = self.with(&dispatch.service, |service| {
                isolation_home(&dispatch.fingerprint, service.vms()).cloned()
            })?;
            return Some((Target::member(fleet, &vm)?, "isolated".to_owned()));
        }
        let mut excluded = excluded.clone();
        let mut choice = self.choose(dispatch, &excluded)?;
        if self.home_client.links.is_silent(&choice.vm) && excluded.insert(choice.vm.clone()) {
            choice = self.choose(dispatch, &excluded)?;
        }
        let reason = format!("{:?}", choice.reason).to_lowercase();
        Some((Target::member(fleet, &choice.vm)?, reason))
    }

    fn choose(&self, dispatch: &Dispatch, excluded: &BTreeSet<VmId>) -> Option<Choice> {
        let now = self.home_client.shared.clock.now();
        self.with(&dispatch.service, |service| {
            let choice = service.choose(now, excluded);
            choice.or_else(|| service.choose(now, &BTreeSet::new()))
        })
    }

    /// Tells whether requests like this one may have crashed an upstream.
    pub(crate) fn is_suspect(&self, dispatch: &Dispatch) -> bool {
        let view = self.home_client.shared.view();
        suspicion_level(&view.fleet, &dispatch.fingerprint, unix_ms())
            == Some(SuspicionLevel::Suspect)
    }
}
