//! The interface for callers.

use bytes::Bytes;
use http::Request;
use http::Response;
use httpd::Handler;
use httpd::Refused;
use ids::RequestId;
use policy::AdmittedRequest;
use policy::Authenticated;
use policy::Fingerprint;
use policy::Reason;
use policy::ReceivedRequest;
use policy::RecentRefusals;
use policy::Refusal;
use policy::SuspicionLevel;
use policy::compute_rank;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use uuid::Uuid;
use wire::Answer;
use wire::Dispatch;

use crate::clock::milliseconds;
use crate::clock::unix_ms;
use crate::entry::Keyed;
use crate::entry::Keyless;
use crate::entry::Splits;
use crate::entry::caller_request::CallerRequest;
use crate::entry::course::Course;
use crate::entry::course::Identity;
use crate::entry::credentials::Credentials;
use crate::entry::responses::answered;
use crate::entry::responses::refused;
use crate::entry::responses::turned_away;
use crate::limits::Meters;
use crate::quarantine::standing_of;
use crate::shared::Shared;

/// Share of requests on open routes in a busy upstream.
const OPEN_WEIGHT: u32 = 1;

/// Serves callers.
pub(crate) struct CallerService {
    pub(crate) keyed: Keyed,
    pub(crate) keyless: Keyless,
    pub(crate) meters: Arc<Meters>,
    /// Requests that were refused and may come again.
    pub(crate) refusals: Mutex<RecentRefusals>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) splits: Splits,
}

impl Handler for CallerService {
    async fn handle(&self, req: Request<Bytes>) -> Response<Bytes> {
        let request_id = self.request_id(&req);
        let mut course = Course::new(&self.shared, &request_id);
        match self.serve(&request_id, req, &mut course).await {
            Ok(answer) => {
                course.answered(&answer);
                answered(&self.shared.dialect, &request_id, answer)
            }
            Err(refusal) => {
                if let Some(identity) = course.refused(&refusal) {
                    self.remember(&identity);
                }
                refused(&self.shared.dialect, &request_id, &refusal)
            }
        }
    }

    fn refuse(&self, refused: Refused) -> Response<Bytes> {
        self.shared.metrics.count_event("caller", "turned-away");
        turned_away(&self.shared.dialect, refused)
    }
}

impl CallerService {
    /// Returns the id that the caller chose, where callers choose ids, and a new one otherwise.
    fn request_id(&self, req: &Request<Bytes>) -> RequestId {
        let dialect = &self.shared.dialect;
        let chosen = req.headers().get(&dialect.request_id);
        let chosen = chosen.filter(|_| dialect.takes_request_ids);
        match chosen.and_then(|id| id.to_str().ok()) {
            Some(id) => id.to_owned(),
            None => Uuid::new_v4().to_string(),
        }
    }

    async fn serve(
        &self,
        request_id: &str,
        req: Request<Bytes>,
        course: &mut Course<'_>,
    ) -> Result<Answer, Refusal> {
        let view = self.shared.view();
        let now = self.shared.clock.now();
        if let Some(reason) = self.unavailable(view.informed) {
            return Err(ReceivedRequest::refuse_unreadable(reason));
        }
        let request = CallerRequest::read(req, view.fleet.plans(), &self.shared, &self.splits)
            .map_err(ReceivedRequest::refuse_unreadable)?;
        course.learn_request(&request);
        let received = ReceivedRequest::new(request.head(request_id.to_owned(), now));
        let credentials = match Credentials::of(&request.headers, &view.fleet) {
            Ok(None) if !request.is_open => Err(Reason::Unauthenticated),
            Err(_) if request.is_open => Ok(None),
            other => other,
        };
        let credentials = match credentials {
            Ok(credentials) => credentials,
            Err(reason) => return Err(received.refuse(reason, None)),
        };
        let workspace = credentials
            .as_ref()
            .map(|credentials| credentials.workspace.clone());
        course.learn_workspace(workspace.as_ref(), &view.fleet);
        let authenticated = received.authenticate(workspace);
        let authenticated = self.check(authenticated, &request)?;
        let fingerprint = request.fingerprint(authenticated.workspace().map(String::as_str));
        let first_arrived = self.first_arrived(now, &request, &fingerprint, course);
        let admitted = self.admit(authenticated, credentials.as_ref()).await?;
        let attempts = request.attempts;
        let returned_after = now.saturating_sub(first_arrived);
        let dispatch = Dispatch {
            fingerprint,
            ..self.dispatch(&admitted, request, credentials.as_ref(), returned_after)
        };
        let admitted = self.check_quarantine(admitted, &dispatch)?;
        if dispatch.key.is_some() {
            self.keyed.run(admitted, dispatch).await
        } else {
            self.keyless.run(admitted, dispatch, attempts).await
        }
    }

    /// Returns when a request first arrived, which is now unless it was refused before.
    fn first_arrived(
        &self,
        now: Duration,
        request: &CallerRequest,
        fingerprint: &Fingerprint,
        course: &mut Course<'_>,
    ) -> Duration {
        let deadline = now + request.asked;
        let mut refusals = self.refusals();
        let first = refusals.take_first_arrival(now, fingerprint, deadline);
        drop(refusals);
        let returned_after = first.map(|first| now.saturating_sub(first));
        let first_arrived = first.unwrap_or(now);
        let identity = Identity {
            deadline,
            fingerprint: fingerprint.clone(),
            first_arrived,
        };
        course.identify(identity, returned_after);
        first_arrived
    }

    /// Remembers a request that was refused, and may come again.
    fn remember(&self, identity: &Identity) {
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

    fn unavailable(&self, informed: bool) -> Option<Reason> {
        if self.shared.is_stopping() {
            return Some(Reason::Stopping);
        }
        (!informed).then_some(Reason::Uninformed)
    }

    /// Checks what the workspace may use, and its idempotency key.
    fn check(
        &self,
        authenticated: Authenticated,
        request: &CallerRequest,
    ) -> Result<Authenticated, Refusal> {
        let view = self.shared.view();
        let workspace = authenticated.workspace().cloned();
        if let Some(workspace) = &workspace
            && !request.is_open
        {
            let plan = view.fleet.plan_of(workspace);
            let is_granted = plan.is_some_and(|plan| plan.services.contains(&request.service));
            if !is_granted {
                return Err(authenticated.refuse(Reason::NotGranted, None));
            }
        }
        match request.check_idempotency_key(workspace.as_deref().unwrap_or_default()) {
            Ok(()) => Ok(authenticated),
            Err(reason) => Err(authenticated.refuse(reason, None)),
        }
    }

    /// Admits a request under the rate of its workspace, if its key is still in force then.
    async fn admit(
        &self,
        authenticated: Authenticated,
        credentials: Option<&Credentials>,
    ) -> Result<AdmittedRequest, Refusal> {
        let Some(credentials) = credentials else {
            return Ok(authenticated.admit());
        };
        if let Err(retry_after) = self.meters.admit(&credentials.workspace).await {
            let reason = if self.meters.has_reachable_owner(&credentials.workspace) {
                Reason::RateExceeded
            } else {
                Reason::OwnerUnreachable
            };
            return Err(authenticated.refuse(reason, Some(retry_after)));
        }
        if !credentials.are_in_force(&self.shared.view().fleet) {
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
        match standing_of(&view.fleet, &dispatch.fingerprint, unix_ms()) {
            Some(SuspicionLevel::Refused) => Err(admitted.refuse(Reason::Quarantined, None)),
            Some(SuspicionLevel::Suspect) | None => Ok(admitted),
        }
    }

    fn dispatch(
        &self,
        admitted: &AdmittedRequest,
        request: CallerRequest,
        credentials: Option<&Credentials>,
        returned_after: Duration,
    ) -> Dispatch {
        let view = self.shared.view();
        let workspace = admitted.workspace().cloned();
        let plan = workspace
            .as_ref()
            .and_then(|workspace| view.fleet.plan_of(workspace));
        let headers = request.forwarded_headers(&self.shared.dialect);
        let left = admitted
            .head()
            .deadline
            .saturating_sub(self.shared.clock.now());
        let queue = left * u32::try_from(self.shared.limits.queue_percent).unwrap_or(100) / 100;
        Dispatch {
            caller_service: self.shared.caller_service.clone(),
            headers,
            priority: compute_rank(
                plan.and_then(|plan| plan.priority),
                request.priority,
                workspace.is_some(),
                !returned_after.is_zero() && returned_after >= request.target_latency,
            ),
            queue_ms: milliseconds(queue),
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
            weight: plan.map_or(OPEN_WEIGHT, |plan| plan.weight),
            alone: false,
            hedge: false,
            entry_offset: view.fleet.next_offset(),
            attempt: 0,
            vouched: false,
            target_latency_ms: milliseconds(request.target_latency),
            tenant_key_hash: credentials.map(|credentials| credentials.hash.prefix().to_owned()),
        }
    }
}
