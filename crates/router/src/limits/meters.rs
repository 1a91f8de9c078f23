//! The rates of all workspaces at this entry.

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
use crate::limits::token_messages::batch;
use crate::limits::token_messages::take_tokens;
use crate::limits::workspace_meter::Decided;
use crate::limits::workspace_meter::Start;
use crate::limits::workspace_meter::WorkspaceMeter;
use crate::links::LinkPool;
use crate::shared::Shared;

/// Time after which an ask for tokens is taken as unanswered.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);

/// Time between two looks at meters while requests wait for tokens.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time between two looks at meters while no request waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Decides whether requests are within the rates of their workspaces.
pub(crate) struct Meters {
    adopted: Mutex<Arc<BTreeMap<Unit, Fence>>>,
    buckets: Arc<Buckets>,
    links: Arc<LinkPool>,
    meters: Mutex<BTreeMap<WorkspaceId, WorkspaceMeter>>,
    shared: Arc<Shared>,
    spread: u64,
    /// Told when a request begins to wait for a token.
    waiting: Notify,
}

/// Forgets a waiting request when its caller has gone.
struct Waiter<'a> {
    meters: &'a Meters,
    ticket: Ticket,
    workspace: &'a str,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if let Some(meter) = self.meters.lock().get_mut(self.workspace) {
            meter.cancel(self.ticket);
        }
    }
}

impl Meters {
    pub(crate) fn new(
        buckets: Arc<Buckets>,
        links: Arc<LinkPool>,
        shared: Arc<Shared>,
        spread: u64,
    ) -> Self {
        Self {
            adopted: Mutex::default(),
            buckets,
            links,
            meters: Mutex::default(),
            shared,
            spread,
            waiting: Notify::new(),
        }
    }

    /// Decides about a request, or returns the time after which its caller should send it again.
    pub(crate) async fn admit(self: &Arc<Self>, workspace: &str) -> Decided {
        let view = self.shared.view();
        let Some(limit) = plan_limit(&self.shared, &view.fleet, workspace) else {
            return Err(Duration::ZERO);
        };
        match self.start(workspace, limit) {
            Start::Decided(decided) => decided,
            Start::Waiting { decided, ticket } => {
                let _waiter = Waiter {
                    meters: self,
                    ticket,
                    workspace,
                };
                decided.await.unwrap_or(Err(Duration::ZERO))
            }
        }
    }

    /// Tells whether a refusal is the doing of the workspace, and not of bucket owners that cannot be reached.
    pub(crate) fn has_reachable_owner(&self, workspace: &str) -> bool {
        self.lock()
            .get(workspace)
            .is_none_or(WorkspaceMeter::has_reachable_owner)
    }

    fn start(self: &Arc<Self>, workspace: &str, limit: RateLimit) -> Start {
        let now = self.shared.clock.now();
        let mut meters = self.lock();
        if !meters.contains_key(workspace) {
            let entries = self.shared.view().fleet.members().len();
            let entries = u32::try_from(entries).unwrap_or(u32::MAX);
            let kind = self.shared.policy.rate;
            let meter = WorkspaceMeter::new(
                now,
                limit,
                self.spread,
                kind,
                entries,
                self.shared.token_timing(),
            );
            meters.insert(workspace.to_owned(), meter);
        }
        let Some(meter) = meters.get_mut(workspace) else {
            return Start::Decided(Err(Duration::ZERO));
        };
        let start = meter.start(now, limit);
        let asks = meter.poll(now);
        drop(meters);
        if matches!(start, Start::Waiting { .. }) {
            self.waiting.notify_one();
        }
        self.send(workspace, asks);
        start
    }

    /// Looks after meters until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let is_waiting = self.lock().values().any(WorkspaceMeter::is_waiting);
            let pause = if is_waiting {
                POLL_INTERVAL
            } else {
                IDLE_INTERVAL
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.waiting.notified(), if !is_waiting => continue,
            }
            self.adopt_buckets();
            let now = self.shared.clock.now();
            let mut asks = Vec::new();
            for (workspace, meter) in self
                .lock()
                .iter_mut()
                .filter(|(_, meter)| meter.is_due(now))
            {
                asks.push((workspace.clone(), meter.poll(now)));
            }
            for (workspace, asks) in asks {
                self.send(&workspace, asks);
            }
        }
    }

    /// Takes in which buckets this process owns, once for each change.
    fn adopt_buckets(&self) {
        let serving = Arc::clone(&self.shared.view().serving);
        let mut adopted = self.adopted.lock().unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&adopted, &serving) {
            self.buckets.adopt();
            *adopted = serving;
        }
    }

    fn send(self: &Arc<Self>, workspace: &str, asks: Vec<TokenRequest>) {
        for ask in asks {
            let meters = Arc::clone(self);
            let workspace = workspace.to_owned();
            tokio::spawn(async move {
                let batch = meters.ask(&workspace, &ask).await;
                let outcome = match &batch {
                    Some(batch) if batch.tokens > 0 => "granted",
                    Some(_) => "empty",
                    None => "unanswered",
                };
                meters.shared.metrics.count_event("tokens", outcome);
                meters.answered(&workspace, ask.id, batch.as_ref());
            });
        }
    }

    fn answered(self: &Arc<Self>, workspace: &str, ask: u64, batch: Option<&Batch>) {
        let now = self.shared.clock.now();
        let mut meters = self.lock();
        let Some(meter) = meters.get_mut(workspace) else {
            return;
        };
        meter.answered(now, ask, batch);
        let asks = meter.poll(now);
        drop(meters);
        self.send(workspace, asks);
    }

    /// Asks the owner of a bucket for tokens.
    async fn ask(&self, workspace: &str, ask: &TokenRequest) -> Option<Batch> {
        let unit = Unit::Bucket {
            workspace: workspace.to_owned(),
            index: ask.bucket,
        };
        let view = self.shared.view();
        let owner = view.fleet.owner(&unit)?;
        let take = take_tokens(ask, &unit, owner.fence);
        let outcome = if owner.vm == self.shared.vm {
            self.buckets.take(&take)
        } else {
            let member = view.fleet.members().get(&owner.vm)?;
            let link = self.links.link(&owner.vm, member.join.peer).await?;
            link.take_tokens(take, ASK_TIMEOUT).await.ok()?
        };
        match outcome {
            TokensOutcome::NotOwner(_) => None,
            TokensOutcome::Tokens(tokens) => Some(batch(&tokens)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<WorkspaceId, WorkspaceMeter>> {
        self.meters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
