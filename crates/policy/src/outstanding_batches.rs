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
    batches: BTreeMap<BatchId, Held>,
    by_expiry: BTreeSet<(Duration, BatchId)>,
    unused: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    until: Duration,
    tokens: u32,
    used: u32,
}

impl OutstandingBatches {
    /// Takes over batches, each held for `margin` longer than the previous owner would.
    pub(crate) fn import(now: Duration, margin: Duration, batches: &[OutstandingBatch]) -> Self {
        let mut outstanding = Self::default();
        for batch in batches {
            let held = Held {
                until: now + batch.held_for + margin,
                tokens: batch.tokens,
                used: batch.used,
            };
            outstanding.insert(batch.id, held);
        }
        outstanding
    }

    pub(crate) fn export(&self, now: Duration) -> Vec<OutstandingBatch> {
        let export = |(id, held): (&BatchId, &Held)| OutstandingBatch {
            held_for: held.until.saturating_sub(now),
            id: *id,
            tokens: held.tokens,
            used: held.used,
        };
        self.batches.iter().map(export).collect()
    }

    pub(crate) fn add(&mut self, id: BatchId, tokens: u32, until: Duration) {
        let used = 0;
        self.insert(
            id,
            Held {
                until,
                tokens,
                used,
            },
        );
    }

    /// Takes in a report, and returns the tokens that the entry has given up.
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
        self.by_expiry.first().map(|(until, _)| *until)
    }

    /// Returns the tokens that entries may still use.
    pub(crate) fn unused(&self) -> u64 {
        self.unused
    }

    fn insert(&mut self, id: BatchId, held: Held) {
        self.unused += u64::from(held.unused());
        self.by_expiry.insert((held.until, id));
        self.batches.insert(id, held);
    }

    fn remove(&mut self, id: BatchId) -> Option<Held> {
        let held = self.batches.remove(&id)?;
        self.by_expiry.remove(&(held.until, id));
        self.unused -= u64::from(held.unused());
        Some(held)
    }
}

impl Held {
    fn unused(&self) -> u32 {
        self.tokens - self.used
    }
}
