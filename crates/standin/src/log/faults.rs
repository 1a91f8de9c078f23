//! Faults of the log stand-in.

use serde::Deserialize;
use serde::Serialize;

/// Faults that the log stand-in injects. Every order replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Whether every request is answered `503` without effect.
    pub down: bool,
    /// Delay of every request before it takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Whether the connection closes without an answer after an append took effect.
    pub lose_answers: bool,
    /// Number of coming appends whose answers are lost, besides `lose_answers`.
    pub lose_answer_count: u64,
    /// Whether requests are never answered, without effect.
    pub silent: bool,
}

impl LogFaults {
    /// Tells whether the answer of the append that has just taken effect is lost.
    pub(crate) fn consume_lost_answer(&mut self) -> bool {
        if self.lose_answer_count > 0 {
            self.lose_answer_count -= 1;
            return true;
        }
        self.lose_answers
    }
}
