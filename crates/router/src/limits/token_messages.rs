//! Conversion between token messages and the types of the rate limit policy.

use std::time::Duration;

use ids::Fence;
use ids::Unit;
use policy::Batch;
use policy::BatchId;
use policy::BatchReport;
use policy::TokenRequest;
use policy::WantedTokens;
use wire::TakeTokens;
use wire::TokenReport;
use wire::Tokens;

pub(crate) fn take_tokens_message(request: &TokenRequest, unit: &Unit, fence: Fence) -> TakeTokens {
    TakeTokens {
        unit: unit.to_string(),
        fence,
        wanted_ahead: request.wanted.prefetch,
        wanted_waiting: request.wanted.waiting,
        reports: request.reports.iter().map(token_report).collect(),
    }
}

fn token_report(report: &BatchReport) -> TokenReport {
    TokenReport {
        fence: report.batch.fence,
        number: report.batch.number,
        closed: report.closed,
        used: report.used,
    }
}

pub(crate) fn batch_reports(message: &TakeTokens) -> Vec<BatchReport> {
    let report = |report: &TokenReport| BatchReport {
        batch: BatchId {
            fence: report.fence,
            number: report.number,
        },
        closed: report.closed,
        used: report.used,
    };
    message.reports.iter().map(report).collect()
}

pub(crate) fn wanted_tokens(message: &TakeTokens) -> WantedTokens {
    WantedTokens {
        prefetch: message.wanted_ahead,
        waiting: message.wanted_waiting,
    }
}

pub(crate) fn tokens_message(batch: &Batch) -> Tokens {
    Tokens {
        fence: batch.id.fence,
        number: batch.id.number,
        count: batch.tokens,
        expires_after_us: microseconds(batch.expires_after),
        next_refill_after_us: microseconds(batch.next_refill_after),
    }
}

pub(crate) fn batch_from_message(tokens: &Tokens) -> Batch {
    Batch {
        expires_after: Duration::from_micros(tokens.expires_after_us),
        id: BatchId {
            fence: tokens.fence,
            number: tokens.number,
        },
        next_refill_after: Duration::from_micros(tokens.next_refill_after_us),
        tokens: tokens.count,
    }
}

fn microseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
