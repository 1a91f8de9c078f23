//! HTTP service for callers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use httpd::Handler;
use httpd::RefusalReason;
use httpd::RemoteAddress;
use ids::RequestId;
use ids::ServiceId;
use policy::AdmittedRequest;
use policy::AuthenticatedRequest;
use policy::Fingerprint;
use policy::Outcome;
use policy::RankedRequest;
use policy::RankedWorkspace;
use policy::Reason;
use policy::ReceivedRequest;
use policy::RecentRefusals;
use policy::Refusal;
use policy::RunningParent;
use policy::SuspicionLevel;
use policy::compute_rank;
use uuid::Uuid;
use wire::Answer;
use wire::Dispatch;
use wire::ParentRequest;

use crate::clock::milliseconds;
use crate::clock::unix_ms;
use crate::entry::KeyedRouter;
use crate::entry::KeylessRouter;
use crate::entry::TrafficSplits;
use crate::entry::caller_request::CallerRequest;
use crate::entry::credentials::Credentials;
use crate::entry::request_tracker::RequestIdentity;
use crate::entry::request_tracker::RequestTracker;
use crate::entry::responses::answer_response;
use crate::entry::responses::refusal_response;
use crate::entry::responses::rejection_response;
use crate::entry::responses::rejection_status;
use crate::entry::retry_after::retry_after;
use crate::home::Home;
use crate::limits::WorkspaceLimiters;
use crate::quarantine::suspicion_level;
use crate::settings::QueueKind;
use crate::shared::Shared;
use crate::view::View;

/// Weight of requests on open routes in the queue of a busy upstream.
const OPEN_ROUTE_WEIGHT: u32 = 1;

/// Authenticates, admits and routes the requests of callers.
pub(crate) struct CallerService {
    pub(crate) home: Arc<Home>,
    pub(crate) keyed_router: KeyedRouter,
    pub(crate) keyless_router: KeylessRouter,
    pub(crate) limiters: Arc<WorkspaceLimiters>,
    /// Recently refused requests, which callers may send again.
    pub(crate) refusals: Mutex<RecentRefusals>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) traffic_splits: TrafficSplits,
}

impl Handler for CallerService {
    async fn handle(&self, req: Request<Bytes>) -> Response<Bytes> {
        let request_id = self.request_id(&req);
        let mut tracker = RequestTracker::new(&self.shared, &request_id);
        match self.serve(&request_id, req, &mut tracker).await {
            Ok(answer) => {
                tracker.finish_answered(&answer);
                answer_response(&self.shared.dialect, &request_id, answer)
            }
            Err(refusal) => {
                if let Some(identity) = tracker.finish_refused(&refusal) {
                    self.remember_refusal(&identity);
                }
                refusal_response(&self.shared.dialect, &request_id, &refusal)
            }
        }
    }

    fn refuse(&self, reason: RefusalReason) -> Response<Bytes> {
        let metrics = &self.shared.metrics;
        metrics.count_event("caller", "turned-away");
        let (status, cause) = rejection_status(reason);
        metrics.count_request("", Outcome::NotRun.as_str(), cause.as_str());
        rejection_response(&self.shared.dialect, status, cause, reason)
    }
}

impl CallerService {
    /// Returns the id that the caller sent, if the upstream's dialect accepts ids from callers, or a new one.
    fn request_id(&self, req: &Request<Bytes>) -> RequestId {
        let dialect = &self.shared.dialect;
        let chosen = req.headers().get(&dialect.request_id);
        let chosen = chosen.filter(|_| dialect.accepts_request_ids);
        match chosen.and_then(|id| id.to_str().ok()) {
            Some(id) => id.to_owned(),
            None => Uuid::new_v4().to_string(),
        }
    }

    async fn serve(
        &self,
        request_id: &str,
        req: Request<Bytes>,
        tracker: &mut RequestTracker<'_>,
    ) -> Result<Answer, Refusal> {
        let view = self.shared.view();
        let now = self.shared.clock.now();
        if let Some(reason) = self.unavailable_reason(&view) {
            return Err(ReceivedRequest::refuse_unreadable(reason));
        }
        let sender = req.extensions().get::<RemoteAddress>().copied();
        let request =
            CallerRequest::parse(req, view.fleet.plans(), &self.shared, &self.traffic_splits)
                .map_err(|reason| ReceivedRequest::refuse_unreadable(view.known_reason(reason)))?;
        tracker.record_request(&request);
        let received = ReceivedRequest::new(request.head(request_id.to_owned(), now));
        let credentials = match Credentials::from_headers(&request.headers, &view.fleet) {
            Ok(None) if !request.is_open => Err(Reason::Unauthenticated),
            Err(_) if request.is_open => Ok(None),
            other => other,
        };
        let credentials = match credentials {
            Ok(credentials) => credentials,
            Err(reason) => {
                return Err(ReceivedRequest::refuse_unreadable(
                    view.known_reason(reason),
                ));
            }
        };
        let parent = match &credentials {
            Some(_) => None,
            None => self.find_parent(now, sender, request_id, &request),
        };
        let workspace = credentials
            .as_ref()
            .map(|credentials| credentials.workspace.clone());
        tracker.record_workspace(workspace.as_ref(), &view.fleet);
        let authenticated = received.authenticate(workspace);
        let authenticated = self.authorize(&view, authenticated, &request)?;
        let authenticated = match parent {
            Some(_) => authenticated,
            None => self.check_forecast(now, authenticated, &request)?,
        };
        let fingerprint = request.fingerprint(authenticated.workspace().map(String::as_str));
        let first_arrived = self.record_arrival(now, &request, &fingerprint, tracker);
        let admitted = self.admit(authenticated, credentials.as_ref()).await?;
        let returned_after = now.saturating_sub(first_arrived);
        let dispatch = Dispatch {
            fingerprint,
            ..self.build_dispatch(
                &admitted,
                request,
                credentials.as_ref(),
                returned_after,
                parent.as_ref(),
            )
        };
        let admitted = self.check_quarantine(admitted, &dispatch)?;
        let service = dispatch.service.clone();
        let result = if dispatch.key.is_some() {
            self.keyed_router.run(admitted, dispatch).await
        } else {
            self.keyless_router.run(admitted, dispatch).await
        };
        if parent.is_some() {
            self.record_call_outcome(&service, result.as_ref().err());
        }
        result
    }

    /// Refuses new work whose calls would probably be refused.
    fn check_forecast(
        &self,
        now: Duration,
        authenticated: AuthenticatedRequest,
        request: &CallerRequest,
    ) -> Result<AuthenticatedRequest, Refusal> {
        if self.home.lock_forecast().admits(now, &request.route) {
            return Ok(authenticated);
        }
        self.shared.metrics.count_event("caller", "refused-early");
        let delay = retry_after(now, now + request.timeout);
        Err(authenticated.refuse(Reason::Overloaded, Some(delay)))
    }

    /// Records how a call of a running request ended. A refusal that the call itself caused says nothing about its service.
    fn record_call_outcome(&self, service: &ServiceId, refusal: Option<&Refusal>) {
        let is_refused = refusal.is_some_and(|refusal| {
            let reason = refusal.reason();
            reason == Reason::DeadlinePassed || !reason.is_caused_by_request()
        });
        let now = self.shared.clock.now();
        let mut forecast = self.home.lock_forecast();
        forecast.record_outcome(now, service, is_refused);
    }

    /// Returns the request that made a call without a tenant key, if the call comes from the machine of the local upstream
    /// and belongs to a request that runs there. Only the ranked queue distinguishes calls.
    fn find_parent(
        &self,
        now: Duration,
        sender: Option<RemoteAddress>,
        request_id: &str,
        call: &CallerRequest,
    ) -> Option<RunningParent> {
        if self.shared.policy.queue != QueueKind::Ranked {
            return None;
        }
        let deadline = now + call.caller_timeout;
        let parent = self.home.find_parent(sender?.ip(), request_id, deadline)?;
        self.shared.metrics.count_event("caller", "upstream-call");
        if let Some(route) = &parent.route {
            let mut forecast = self.home.lock_forecast();
            forecast.record_call(now, route, &call.service);
        }
        Some(parent)
    }

    /// Records the identity of a request, and returns the time at which it first arrived: `now` unless it was refused
    /// before.
    fn record_arrival(
        &self,
        now: Duration,
        request: &CallerRequest,
        fingerprint: &Fingerprint,
        tracker: &mut RequestTracker<'_>,
    ) -> Duration {
        let deadline = now + request.caller_timeout;
        let mut refusals = self.refusals();
        let first = refusals.take_first_arrival(now, fingerprint, deadline);
        drop(refusals);
        let returned_after = first.map(|first| now.saturating_sub(first));
        let first_arrived = first.unwrap_or(now);
        let identity = RequestIdentity {
            deadline,
            fingerprint: fingerprint.clone(),
            first_arrived,
        };
        tracker.record_identity(identity, returned_after);
        first_arrived
    }

    /// Remembers a refused request, so that it is recognized when its caller sends it again.
    fn remember_refusal(&self, identity: &RequestIdentity) {
        self.refusals().record(
            self.shared.clock.now(),
            &identity.fingerprint,
            identity.deadline,
            identity.first_arrived,
        );
    }

    fn refusals(&self) -> MutexGuard<'_, RecentRefusals> {
        self.refusals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn unavailable_reason(&self, view: &View) -> Option<Reason> {
        if self.shared.is_stopping() {
            Some(Reason::Stopping)
        } else if !view.is_informed {
            Some(Reason::Uninformed)
        } else if !view.fleet.is_configured() {
            Some(Reason::Unconfigured)
        } else {
            None
        }
    }

    /// Checks that the plan of the workspace grants the service, and that the idempotency key is valid. The plan is of the
    /// same view as the route, since a service that the route goes to need not be declared in a later one.
    fn authorize(
        &self,
        view: &View,
        authenticated: AuthenticatedRequest,
        request: &CallerRequest,
    ) -> Result<AuthenticatedRequest, Refusal> {
        let workspace = authenticated.workspace().cloned();
        if let Some(workspace) = &workspace
            && !request.is_open
        {
            let plan = view.fleet.plan_of(workspace);
            let is_granted = plan.is_some_and(|plan| plan.services.contains(&request.service));
            if !is_granted {
                return Err(authenticated.refuse(view.known_reason(Reason::NotGranted), None));
            }
        }
        match request.check_idempotency_key(workspace.as_deref().unwrap_or_default()) {
            Ok(()) => Ok(authenticated),
            Err(reason) => Err(authenticated.refuse(reason, None)),
        }
    }

    /// Admits a request under the rate of its workspace. The tenant key is checked again afterwards, since it may be
    /// withdrawn while the request waits for a token.
    async fn admit(
        &self,
        authenticated: AuthenticatedRequest,
        credentials: Option<&Credentials>,
    ) -> Result<AdmittedRequest, Refusal> {
        let Some(credentials) = credentials else {
            return Ok(authenticated.admit());
        };
        if let Err(retry_after) = self.limiters.admit(&credentials.workspace).await {
            let reason = if self.limiters.has_reachable_owner(&credentials.workspace) {
                Reason::RateExceeded
            } else {
                Reason::OwnerUnreachable
            };
            return Err(authenticated.refuse(reason, Some(retry_after)));
        }
        if !credentials.are_valid(&self.shared.view().fleet) {
            return Err(authenticated.refuse(Reason::KeyWithdrawn, None));
        }
        Ok(authenticated.admit())
    }

    fn check_quarantine(
        &self,
        admitted: AdmittedRequest,
        dispatch: &Dispatch,
    ) -> Result<AdmittedRequest, Refusal> {
        let view = self.shared.view();
        match suspicion_level(&view.fleet, &dispatch.fingerprint, unix_ms()) {
            Some(SuspicionLevel::Refused) => Err(admitted.refuse(Reason::Quarantined, None)),
            Some(SuspicionLevel::Suspect) | None => Ok(admitted),
        }
    }

    fn build_dispatch(
        &self,
        admitted: &AdmittedRequest,
        request: CallerRequest,
        credentials: Option<&Credentials>,
        returned_after: Duration,
        parent: Option<&RunningParent>,
    ) -> Dispatch {
        let view = self.shared.view();
        let workspace = admitted.workspace().cloned();
        let plan = workspace
            .as_ref()
            .and_then(|workspace| view.fleet.plan_of(workspace));
        let headers = request.forwarded_headers(&self.shared.dialect);
        let remaining = admitted
            .head()
            .deadline
            .saturating_sub(self.shared.clock.now());
        let queue_percent = u32::try_from(self.shared.limits.queue_percent).unwrap_or(100);
        let queue_time = match parent {
            // The answer to a call is of use to its parent until the deadline.
            Some(_) => remaining,
            None => remaining * queue_percent / 100,
        };
        let ranked = match parent {
            Some(parent) => RankedRequest::Call {
                parent_rank: parent.rank,
            },
            None => RankedRequest::NewWork {
                is_late: !returned_after.is_zero() && returned_after >= request.target_latency,
                route_priority: request.priority,
                workspace: workspace.as_ref().map(|_| RankedWorkspace {
                    priority: plan.and_then(|plan| plan.priority),
                }),
            },
        };
        Dispatch {
            caller_service: self.shared.caller_service.clone(),
            headers,
            parent: parent.map(|parent| ParentRequest {
                priority: parent.rank,
                repeatable: parent.is_repeatable,
            }),
            priority: compute_rank(&ranked),
            queue_ms: milliseconds(queue_time),
            request_id: admitted.head().id.clone(),
            returned_after_ms: milliseconds(returned_after),
            fingerprint: String::new(),
            workspace,
            service: request.service,
            key: request.key,
            unit: None,
            fence: 0,
            method: request.method,
            path_and_query: request.path_and_query,
            content_type: request.content_type,
            body: request.body,
            deadline_ms: 0,
            idempotency_key: request.idempotency_key,
            idempotent: request.is_idempotent,
            weight: plan.map_or(OPEN_ROUTE_WEIGHT, |plan| plan.weight),
            alone: false,
            hedge: false,
            entry_offset: view.fleet.next_offset(),
            entry_revision: view.fleet.revision(),
            attempt: 0,
            target_latency_ms: milliseconds(request.target_latency),
            tenant_key_hash: credentials.map(|credentials| credentials.hash.prefix().to_owned()),
        }
    }
}
