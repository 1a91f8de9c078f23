//! Observation of the answers of an upstream.

use std::fmt::Debug;

use crate::AnswerHead;

/// Observes what answers state about the upstream, whether or not anyone still waits for them.
///
/// Answers that belong to no request, or that may come from another upstream at the same address, are left out.
pub trait AnswerObserver: Debug + Send + Sync {
    /// Called when the head of an answer has arrived.
    fn begin_answer(&self, head: &AnswerHead);

    /// Called when an answer is complete.
    fn end_answer(&self, head: &AnswerHead);

    /// Called before a request is sent once more on another connection. Returns whether it may be sent.
    fn repeat_request(&self) -> bool;
}
