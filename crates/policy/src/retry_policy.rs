//! Whether a request is sent again.

use std::time::Duration;

use serde::Serialize;

use crate::Outcome;
use crate::Reason;
use crate::RequestHead;
use crate::RetryBudget;

/// Most times that one request is sent, the first included.
const LARGEST_ATTEMPTS: u32 = 3;

/// Pause before the first retry; it doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(5);

/// Decision whether a request is sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryDecision {
    /// The request ends with the refusal.
    GiveUp,
    /// The request is sent again, to another upstream where there is one.
    After(Duration),
}

/// Decides whether a request is sent again that has been sent `attempts` times.
///
/// A request that did not run may be sent again, and one with unknown outcome only if it is
/// idempotent. Redirections by [`Reason::NotOwner`] and [`Reason::Stopping`], and by a home without room, are free, up to the
/// number of attempts. A request
/// that was running while an upstream crashed is never sent again by an entry, as it may be what
/// crashed it.
pub fn decide_retry(
    now: Duration,
    head: &RequestHead,
    attempts: u32,
    outcome: Outcome,
    reason: Reason,
    budget: &mut RetryBudget,
) -> RetryDecision {
    let may_run_again = outcome == Outcome::NotRun || head.idempotent;
    if !may_run_again || attempts >= LARGEST_ATTEMPTS || is_final(reason) {
        return RetryDecision::GiveUp;
    }
    let pause = FIRST_PAUSE * 2_u32.pow(attempts.saturating_sub(1));
    if now + pause >= head.deadline {
        return RetryDecision::GiveUp;
    }
    if !is_free(reason, outcome) && !budget.try_spend() {
        return RetryDecision::GiveUp;
    }
    RetryDecision::After(pause)
}

/// Returns whether the refusal costs no upstream anything: it belongs to a planned change, or the home had no room.
fn is_free(reason: Reason, outcome: Outcome) -> bool {
    match reason {
        Reason::NotOwner | Reason::Stopping => true,
        Reason::Overloaded => outcome == Outcome::NotRun,
        _ => false,
    }
}

/// Returns whether sending the request again cannot change the refusal, or must not be tried.
fn is_final(reason: Reason) -> bool {
    reason.is_caused_by_request() || matches!(reason, Reason::Uninformed | Reason::UpstreamCrashed)
}
