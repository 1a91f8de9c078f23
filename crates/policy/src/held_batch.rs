//! Batch of tokens held by an entry.

use std::time::Duration;

use crate::Batch;
use crate::BatchId;
use crate::BatchReport;

/// Batch that an entry holds, or whose use it still has to report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldBatch {
    expires_at: Duration,
    id: BatchId,
    /// Last token request that reported the batch as closed.
    closed_by: Option<u64>,
    tokens: u32,
    used: u32,
}

impl HeldBatch {
    /// Creates a held batch, which expires relative to when the token request was sent.
    pub(crate) fn new(sent_at: Duration, batch: &Batch) -> Self {
        Self {
            expires_at: sent_at + batch.expires_after,
            id: batch.id,
            closed_by: None,
            tokens: batch.tokens,
            used: 0,
        }
    }

    pub(crate) fn expires_at(&self) -> Duration {
        self.expires_at
    }

    pub(crate) fn has_expired(&self, now: Duration) -> bool {
        now >= self.expires_at
    }

    pub(crate) fn unused(&self, now: Duration) -> u32 {
        if self.has_expired(now) {
            return 0;
        }
        self.tokens - self.used
    }

    /// Uses a token, and returns whether there was one.
    pub(crate) fn use_token(&mut self, now: Duration) -> bool {
        let has_token = self.unused(now) > 0;
        self.used += u32::from(has_token);
        has_token
    }

    /// Returns the report to send with token request `request_id`.
    pub(crate) fn report(&mut self, request_id: u64) -> BatchReport {
        let closed = self.used == self.tokens;
        if closed {
            self.closed_by = Some(request_id);
        }
        BatchReport {
            batch: self.id,
            closed,
            used: self.used,
        }
    }

    /// Reports whether the batch is used up and has not been reported as closed.
    pub(crate) fn needs_report(&self) -> bool {
        self.used == self.tokens && self.closed_by.is_none()
    }

    /// Reports whether token request `request_id` reported the batch as closed.
    pub(crate) fn was_closed_by(&self, request_id: u64) -> bool {
        self.closed_by == Some(request_id)
    }
}
