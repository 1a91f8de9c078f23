//! Token buckets that this process owns.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use ids::Fence;
use ids::Unit;
use ids::VmId;
use policy::Bucket;
use policy::RateLimit;
use wire::NotOwner;
use wire::TakeTokens;
use wire::Tokens;
use wire::TokensOutcome;

use crate::handover::HandoverContents;
use crate::handover::HandoverState;
use crate::handover::IncomingHandovers;
use crate::limits::plan_limit::plan_limit;
use crate::limits::token_messages::batch_reports;
use crate::limits::token_messages::tokens_message;
use crate::limits::token_messages::wanted_tokens;
use crate::shared::Shared;
use crate::view::View;

/// Time for which a bucket that is no longer served is kept for its next owner.
const RETIRED_BUCKET_LIFETIME: Duration = Duration::from_secs(60);

/// Grants tokens from the buckets that this process owns.
#[derive(Debug)]
pub(crate) struct Buckets {
    handovers: Arc<IncomingHandovers>,
    shared: Arc<Shared>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    owned: BTreeMap<Unit, OwnedBucket>,
    /// Buckets that are kept for their next owner, with the time at which they were retired.
    retired: BTreeMap<Unit, (OwnedBucket, Duration)>,
}

#[derive(Clone, Debug)]
struct OwnedBucket {
    bucket: Bucket,
    fence: Fence,
}

impl Buckets {
    pub(crate) fn new(handovers: Arc<IncomingHandovers>, shared: Arc<Shared>) -> Self {
        Self {
            handovers,
            shared,
            state: Mutex::default(),
        }
    }

    /// Updates which buckets this process owns, so that a new bucket fills from the start of its ownership.
    pub(crate) fn update_ownership(&self) {
        let view = self.shared.view();
        let now = self.shared.clock.now();
        let mut state = self.lock();
        state.retire(&view, now);
        for (unit, fence) in view.serving.iter() {
            if let Some(limit) = bucket_limit(&self.shared, &view, unit)
                && !state.owned.contains_key(unit)
            {
                let owned = self.start_bucket(&mut state, unit, *fence, limit);
                state.owned.insert(unit.clone(), owned);
            }
        }
    }

    /// Returns the bucket with which this process starts to serve a unit. A retired bucket whose fence is unchanged was
    /// never handed over and is used again. Otherwise the bucket is the one received with a move, or a new one.
    fn start_bucket(
        &self,
        state: &mut State,
        unit: &Unit,
        fence: Fence,
        limit: RateLimit,
    ) -> OwnedBucket {
        let now = self.shared.clock.now();
        if let Some((retired, _)) = state.retired.remove(unit)
            && retired.fence == fence
        {
            return retired;
        }
        let bucket = match self.handovers.take(unit, fence) {
            Some(HandoverContents::Bucket(arrived)) => Bucket::import(now, fence, &arrived),
            Some(HandoverContents::Requests(_)) | None => Bucket::new(now, fence, limit),
        };
        let bucket = bucket.with_timing(self.shared.token_timing());
        OwnedBucket { bucket, fence }
    }

    /// Returns the state of a bucket for its next owner, or `None` if this process still serves the bucket or has not
    /// retired it under `fence`.
    pub(crate) fn export(&self, unit: &Unit, fence: Fence) -> Option<HandoverState> {
        self.update_ownership();
        let now = self.shared.clock.now();
        let state = self.lock();
        let (retired, _) = state.retired.get(unit)?;
        let bucket = (retired.fence == fence).then(|| retired.bucket.clone())?;
        Some(HandoverState::bucket(fence, bucket.export(now)))
    }

    /// Grants tokens to an entry, if this process owns the bucket under a valid lease.
    pub(crate) fn grant_tokens(&self, request: &TakeTokens) -> TokensOutcome {
        let view = self.shared.view();
        let not_owner = TokensOutcome::NotOwner(NotOwner {
            offset: view.fleet.next_offset(),
        });
        let Ok(unit) = request.unit.parse::<Unit>() else {
            return not_owner;
        };
        self.update_ownership();
        let now = self.shared.clock.now();
        if !self.shared.lease.holds(now) {
            return not_owner;
        }
        let Some(limit) = bucket_limit(&self.shared, &view, &unit) else {
            return not_owner;
        };
        match self.lock().owned.get_mut(&unit) {
            Some(owned) => TokensOutcome::Tokens(owned.grant(now, limit, &self.shared.vm, request)),
            None => not_owner,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Retires the buckets that are no longer served, and drops those that were retired too long ago.
    fn retire(&mut self, view: &View, now: Duration) {
        let no_longer_served: Vec<Unit> = self
            .owned
            .iter()
            .filter(|(unit, owned)| view.serving.get(unit) != Some(&owned.fence))
            .map(|(unit, _)| unit.clone())
            .collect();
        for unit in no_longer_served {
            if let Some(owned) = self.owned.remove(&unit) {
                self.retired.insert(unit, (owned, now));
            }
        }
        self.retired
            .retain(|_, (_, retired_at)| now.saturating_sub(*retired_at) < RETIRED_BUCKET_LIFETIME);
    }
}

impl OwnedBucket {
    fn grant(
        &mut self,
        now: Duration,
        limit: RateLimit,
        entry: &VmId,
        request: &TakeTokens,
    ) -> Tokens {
        self.bucket.set_limit(now, limit);
        self.bucket.report(now, &batch_reports(request));
        tokens_message(&self.bucket.grant(now, entry, wanted_tokens(request)))
    }
}

/// Returns the part of a workspace's limit that a bucket has, or `None` for a unit that is no bucket or a workspace
/// without a plan.
fn bucket_limit(shared: &Shared, view: &View, unit: &Unit) -> Option<RateLimit> {
    let Unit::Bucket { workspace, index } = unit else {
        return None;
    };
    Some(plan_limit(shared, &view.fleet, workspace)?.part(*index))
}
