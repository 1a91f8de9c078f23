//! Batches that have not expired, at the owner of a bucket.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::BatchId;
use crate::BatchReport;
use crate::OutstandingBatch;

/// Batches that have not expired, at the owner of a bucket.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutstandingBatches {
    batches: BTreeMap<BatchId, BatchTokens>,
    by_expiry: BTreeSet<(Duration, BatchId)>,
    unused: u64,
}

#[derive(Clone, Copy, Debug)]
struct BatchTokens {
    expires_at: Duration,
    tokens: u32,
    used: u32,
}

impl OutstandingBatches {
    /// Imports batches, each of which stays outstanding for `margin` longer than at the previous owner.
    pub(crate) fn import(now: Duration, margin: Duration, batches: &[OutstandingBatch]) -> Self {
        let mut outstanding = Self::default();
        for batch in batches {
            let held = BatchTokens {
                expires_at: now + batch.held_for + margin,
                tokens: batch.tokens,
                used: batch.used,
            };
            outstanding.insert(batch.id, held);
        }
        outstanding
    }

    pub(crate) fn export(&self, now: Duration) -> Vec<OutstandingBatch> {
        let export = |(id, held): (&BatchId, &BatchTokens)| OutstandingBatch {
            held_for: held.expires_at.saturating_sub(now),
            id: *id,
            tokens: held.tokens,
            used: held.used,
        };
        self.batches.iter().map(export).collect()
    }

    pub(crate) fn add(&mut self, id: BatchId, tokens: u32, expires_at: Duration) {
        let used = 0;
        self.insert(
            id,
            BatchTokens {
                expires_at,
                tokens,
                used,
            },
        );
    }

    /// Applies a report, and returns the number of tokens that the entry gives up.
    pub(crate) fn report(&mut self, report: &BatchReport) -> u32 {
        let Some(mut held) = self.remove(report.batch) else {
            return 0;
        };
        held.used = held.used.max(report.used.min(held.tokens));
        if report.closed {
            return held.unused();
        }
        if held.unused() > 0 {
            self.insert(report.batch, held);
        }
        0
    }

    /// Removes the batch that expires first.
    pub(crate) fn expire_first(&mut self) {
        if let Some((_, id)) = self.by_expiry.first().copied() {
            self.remove(id);
        }
    }

    pub(crate) fn first_expiry(&self) -> Option<Duration> {
        self.by_expiry.first().map(|(expires_at, _)| *expires_at)
    }

    /// Returns the number of tokens that entries may still use.
    pub(crate) fn unused(&self) -> u64 {
        self.unused
    }

    fn insert(&mut self, id: BatchId, held: BatchTokens) {
        self.unused += u64::from(held.unused());
        self.by_expiry.insert((held.expires_at, id));
        self.batches.insert(id, held);
    }

    fn remove(&mut self, id: BatchId) -> Option<BatchTokens> {
        let held = self.batches.remove(&id)?;
        self.by_expiry.remove(&(held.expires_at, id));
        self.unused -= u64::from(held.unused());
        Some(held)
    }
}

impl BatchTokens {
    fn unused(&self) -> u32 {
        self.tokens - self.used
    }
}
