//! Rate limiters of all workspaces at this entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use ids::Fence;
use ids::Unit;
use ids::WorkspaceId;
use policy::Batch;
use policy::RateLimit;
use policy::Ticket;
use policy::TokenRequest;
use tokio::sync::Notify;
use wire::TokensOutcome;

use crate::limits::Buckets;
use crate::limits::plan_limit::plan_limit;
use crate::limits::token_messages::batch_from_message;
use crate::limits::token_messages::take_tokens_message;
use crate::limits::workspace_limiter::AdmissionResult;
use crate::limits::workspace_limiter::AdmissionState;
use crate::limits::workspace_limiter::WorkspaceLimiter;
use crate::links::LinkPool;
use crate::shared::Shared;

/// Time after which a token request counts as unanswered.
const TOKEN_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval between polls of the limiters while requests wait for tokens.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Interval between polls of the limiters while no request waits.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Admits requests within the rate limits of their workspaces.
pub(crate) struct WorkspaceLimiters {
    buckets: Arc<Buckets>,
    /// Served units at the last update of the owned buckets.
    last_serving: Mutex<Arc<BTreeMap<Unit, Fence>>>,
    links: Arc<LinkPool>,
    limiters: Mutex<BTreeMap<WorkspaceId, WorkspaceLimiter>>,
    shared: Arc<Shared>,
    /// Number that differs between entries, so that they start with different buckets.
    bucket_seed: u64,
    /// Notified when a request starts to wait for a token.
    waiter_added: Notify,
}

/// Removes a waiting request from its limiter on drop, as when its caller has disconnected.
struct Waiter<'a> {
    limiters: &'a WorkspaceLimiters,
    ticket: Ticket,
    workspace: &'a str,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if let Some(limiter) = self.limiters.lock().get_mut(self.workspace) {
            limiter.cancel(self.ticket);
        }
    }
}

impl WorkspaceLimiters {
    pub(crate) fn new(
        buckets: Arc<Buckets>,
        links: Arc<LinkPool>,
        shared: Arc<Shared>,
        bucket_seed: u64,
    ) -> Self {
        Self {
            buckets,
            last_serving: Mutex::default(),
            links,
            limiters: Mutex::default(),
            shared,
            bucket_seed,
            waiter_added: Notify::new(),
        }
    }

    /// Admits a request, or returns the delay after which its caller should retry.
    pub(crate) async fn admit(self: &Arc<Self>, workspace: &str) -> AdmissionResult {
        let view = self.shared.view();
        let Some(limit) = plan_limit(&self.shared, &view.fleet, workspace) else {
            return Err(Duration::ZERO);
        };
        match self.submit(workspace, limit) {
            AdmissionState::Decided(result) => result,
            AdmissionState::Waiting { decision, ticket } => {
                let _waiter = Waiter {
                    limiters: self,
                    ticket,
                    workspace,
                };
                decision.await.unwrap_or(Err(Duration::ZERO))
            }
        }
    }

    /// Reports whether a refusal is due to the rate of the workspace, and not to bucket owners that cannot be reached.
    pub(crate) fn has_reachable_owner(&self, workspace: &str) -> bool {
        self.lock()
            .get(workspace)
            .is_none_or(WorkspaceLimiter::has_reachable_owner)
    }

    fn submit(self: &Arc<Self>, workspace: &str, limit: RateLimit) -> AdmissionState {
        let now = self.shared.clock.now();
        let mut limiters = self.lock();
        if !limiters.contains_key(workspace) {
            let entries = self.shared.view().fleet.members().len();
            let entries = u32::try_from(entries).unwrap_or(u32::MAX);
            let kind = self.shared.policy.rate;
            let limiter = WorkspaceLimiter::new(
                now,
                limit,
                self.bucket_seed,
                kind,
                entries,
                self.shared.token_timing(),
            );
            limiters.insert(workspace.to_owned(), limiter);
        }
        let Some(limiter) = limiters.get_mut(workspace) else {
            return AdmissionState::Decided(Err(Duration::ZERO));
        };
        let state = limiter.submit(now, limit);
        let requests = limiter.poll(now);
        drop(limiters);
        if matches!(state, AdmissionState::Waiting { .. }) {
            self.waiter_added.notify_one();
        }
        self.send_token_requests(workspace, requests);
        state
    }

    /// Polls the limiters until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let is_waiting = self.lock().values().any(WorkspaceLimiter::is_waiting);
            let poll_interval = if is_waiting {
                POLL_INTERVAL
            } else {
                IDLE_POLL_INTERVAL
            };
            tokio::select! {
                () = tokio::time::sleep(poll_interval) => {}
                () = self.waiter_added.notified(), if !is_waiting => continue,
            }
            self.update_buckets();
            let now = self.shared.clock.now();
            let mut requests = Vec::new();
            for (workspace, limiter) in self
                .lock()
                .iter_mut()
                .filter(|(_, limiter)| limiter.is_due(now))
            {
                requests.push((workspace.clone(), limiter.poll(now)));
            }
            for (workspace, requests) in requests {
                self.send_token_requests(&workspace, requests);
            }
        }
    }

    /// Updates the owned buckets if the served units have changed since the last update.
    fn update_buckets(&self) {
        let serving = Arc::clone(&self.shared.view().serving);
        let mut last_serving = self
            .last_serving
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&last_serving, &serving) {
            self.buckets.update_ownership();
            *last_serving = serving;
        }
    }

    fn send_token_requests(self: &Arc<Self>, workspace: &str, requests: Vec<TokenRequest>) {
        for request in requests {
            let limiters = Arc::clone(self);
            let workspace = workspace.to_owned();
            tokio::spawn(async move {
                let batch = limiters.request_tokens(&workspace, &request).await;
                let outcome = match &batch {
                    Some(batch) if batch.tokens > 0 => "granted",
                    Some(_) => "empty",
                    None => "unanswered",
                };
                limiters.shared.metrics.count_event("tokens", outcome);
                limiters.complete_token_request(&workspace, request.id, batch.as_ref());
            });
        }
    }

    fn complete_token_request(
        self: &Arc<Self>,
        workspace: &str,
        request_id: u64,
        batch: Option<&Batch>,
    ) {
        let now = self.shared.clock.now();
        let mut limiters = self.lock();
        let Some(limiter) = limiters.get_mut(workspace) else {
            return;
        };
        limiter.complete_token_request(now, request_id, batch);
        let requests = limiter.poll(now);
        drop(limiters);
        self.send_token_requests(workspace, requests);
    }

    /// Requests tokens from the owner of a bucket. Returns `None` if the owner does not answer or no longer owns it.
    async fn request_tokens(&self, workspace: &str, request: &TokenRequest) -> Option<Batch> {
        let unit = Unit::Bucket {
            workspace: workspace.to_owned(),
            index: request.bucket,
        };
        let view = self.shared.view();
        let owner = view.fleet.owner(&unit)?;
        let message = take_tokens_message(request, &unit, owner.fence);
        let outcome = if owner.vm == self.shared.vm {
            self.buckets.grant_tokens(&message)
        } else {
            let member = view.fleet.members().get(&owner.vm)?;
            let link = self.links.link(&owner.vm, member.join.peer).await?;
            link.take_tokens(message, TOKEN_REQUEST_TIMEOUT)
                .await
                .ok()?
        };
        match outcome {
            TokensOutcome::NotOwner(_) => None,
            TokensOutcome::Tokens(tokens) => Some(batch_from_message(&tokens)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<WorkspaceId, WorkspaceLimiter>> {
        self.limiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
