//! Faults of the log stand-in.

use serde::Deserialize;
use serde::Serialize;

/// Faults that the log stand-in injects. Every `POST /faults` replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Whether every request gets a `503` response and has no effect.
    pub down: bool,
    /// Delay before a request takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Whether appends take effect but the connection closes without a response.
    pub lose_answers: bool,
    /// Number of further appends whose responses are lost, regardless of `lose_answers`.
    pub lose_answer_count: u64,
    /// Whether requests get no response and have no effect, with the connection left open.
    pub silent: bool,
}

impl LogFaults {
    /// Reports whether to drop the response to the current append, and counts it against `lose_answer_count`.
    pub(crate) fn consume_lost_answer(&mut self) -> bool {
        if self.lose_answer_count > 0 {
            self.lose_answer_count -= 1;
            return true;
        }
        self.lose_answers
    }
}
