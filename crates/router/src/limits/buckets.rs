//! Buckets that this process owns.

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
use crate::limits::token_messages::reports;
use crate::limits::token_messages::tokens;
use crate::limits::token_messages::wanted;
use crate::shared::Shared;
use crate::view::View;

/// Time for which a bucket that is no longer served is kept, to be passed on.
const RETIRED_LIFETIME: Duration = Duration::from_secs(60);

/// Grants tokens of the buckets that this process owns.
#[derive(Debug)]
pub(crate) struct Buckets {
    handovers: Arc<IncomingHandovers>,
    shared: Arc<Shared>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    owned: BTreeMap<Unit, Owned>,
    /// Buckets on their way to another owner, with the time at which they were last served.
    retired: BTreeMap<Unit, (Owned, Duration)>,
}

#[derive(Clone, Debug)]
struct Owned {
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

    /// Takes in which buckets this process owns, so that a new one fills from the start of its ownership.
    pub(crate) fn adopt(&self) {
        let view = self.shared.view();
        let now = self.shared.clock.now();
        let mut state = self.lock();
        state.retire(&view, now);
        for (unit, fence) in view.serving.iter() {
            if let Some(limit) = part_of(&self.shared, &view, unit)
                && !state.owned.contains_key(unit)
            {
                let owned = self.begin(&mut state, unit, *fence, limit);
                state.owned.insert(unit.clone(), owned);
            }
        }
    }

    /// Returns a bucket at the start of its service: one that was never passed on, one that came by a move, or a new one.
    fn begin(&self, state: &mut State, unit: &Unit, fence: Fence, limit: RateLimit) -> Owned {
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
        Owned { bucket, fence }
    }

    /// Returns what the next owner of a bucket needs, once this process no longer serves it.
    pub(crate) fn export(&self, unit: &Unit, fence: Fence) -> Option<HandoverState> {
        self.adopt();
        let now = self.shared.clock.now();
        let state = self.lock();
        let (retired, _) = state.retired.get(unit)?;
        let bucket = (retired.fence == fence).then(|| retired.bucket.clone())?;
        Some(HandoverState::bucket(fence, bucket.export(now)))
    }

    /// Grants tokens to an entry, if this process owns the bucket under a lease that holds.
    pub(crate) fn take(&self, take: &TakeTokens) -> TokensOutcome {
        let view = self.shared.view();
        let not_owner = TokensOutcome::NotOwner(NotOwner {
            offset: view.fleet.next_offset(),
        });
        let Ok(unit) = take.unit.parse::<Unit>() else {
            return not_owner;
        };
        self.adopt();
        let now = self.shared.clock.now();
        if !self.shared.lease.holds(now) {
            return not_owner;
        }
        let Some(limit) = part_of(&self.shared, &view, &unit) else {
            return not_owner;
        };
        match self.lock().owned.get_mut(&unit) {
            Some(owned) => TokensOutcome::Tokens(owned.grant(now, limit, &self.shared.vm, take)),
            None => not_owner,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Sets buckets aside that are no longer served, and drops those that were set aside long ago.
    fn retire(&mut self, view: &View, now: Duration) {
        let ended: Vec<Unit> = self
            .owned
            .iter()
            .filter(|(unit, owned)| view.serving.get(unit) != Some(&owned.fence))
            .map(|(unit, _)| unit.clone())
            .collect();
        for unit in ended {
            if let Some(owned) = self.owned.remove(&unit) {
                self.retired.insert(unit, (owned, now));
            }
        }
        self.retired
            .retain(|_, (_, since)| now.saturating_sub(*since) < RETIRED_LIFETIME);
    }
}

impl Owned {
    fn grant(
        &mut self,
        now: Duration,
        limit: RateLimit,
        entry: &VmId,
        take: &TakeTokens,
    ) -> Tokens {
        self.bucket.set_limit(now, limit);
        self.bucket.report(now, &reports(take));
        tokens(&self.bucket.grant(now, entry, wanted(take)))
    }
}

/// Returns the part of a workspace's limit that a bucket has, or `None` for any other unit.
fn part_of(shared: &Shared, view: &View, unit: &Unit) -> Option<RateLimit> {
    let Unit::Bucket { workspace, index } = unit else {
        return None;
    };
    Some(plan_limit(shared, &view.fleet, workspace)?.part(*index))
}
