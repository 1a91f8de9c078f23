//! Decision whether a request is retried.

use std::time::Duration;

use serde::Serialize;

use crate::Outcome;
use crate::Reason;
use crate::RequestHead;
use crate::RetryBudget;

/// Maximum number of times that a request is sent, the first included.
const MAX_ATTEMPTS: u32 = 3;

/// Delay before the first retry; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);

/// Decision whether a request is retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryDecision {
    /// The request ends with the refusal.
    GiveUp,
    /// The request is sent again after a delay, to another upstream if there is one.
    After(Duration),
}

/// Decides whether a request that has been sent `attempts` times is retried.
///
/// A request that did not run may be retried, and one with unknown outcome only if it is idempotent.
/// Retries after [`Reason::NotOwner`], [`Reason::Stopping`], [`Reason::ZoneOut`] or a refusal by a full home don't use
/// the budget, but count as attempts. An entry never retries a request that was running while an upstream
/// crashed, since the request may have caused the crash.
pub fn decide_retry(
    now: Duration,
    head: &RequestHead,
    attempts: u32,
    outcome: Outcome,
    reason: Reason,
    budget: &mut RetryBudget,
) -> RetryDecision {
    let may_run_again = outcome == Outcome::NotRun || head.idempotent;
    if !may_run_again || attempts >= MAX_ATTEMPTS || is_final(reason) {
        return RetryDecision::GiveUp;
    }
    let backoff = INITIAL_BACKOFF * 2_u32.pow(attempts.saturating_sub(1));
    if now + backoff >= head.deadline {
        return RetryDecision::GiveUp;
    }
    if !is_budget_exempt(reason, outcome) && !budget.try_spend() {
        return RetryDecision::GiveUp;
    }
    RetryDecision::After(backoff)
}

/// Reports whether a retry after the refusal doesn't use the budget.
///
/// Such a refusal cost no upstream any work: it is part of a planned change, or the home was full.
fn is_budget_exempt(reason: Reason, outcome: Outcome) -> bool {
    match reason {
        Reason::NotOwner | Reason::Stopping | Reason::ZoneOut => true,
        Reason::Overloaded => outcome == Outcome::NotRun,
        _ => false,
    }
}

/// Reports whether a retry cannot change the refusal, or is not allowed.
fn is_final(reason: Reason) -> bool {
    let needs_another_entry = matches!(reason, Reason::Unconfigured | Reason::Uninformed);
    reason.is_caused_by_request() || needs_another_entry || reason == Reason::UpstreamCrashed
}
