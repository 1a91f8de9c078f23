//! Rate that an upstream states in its answers.

/// Number of an answer, in the order in which the answers of one incarnation of the upstream begin.
pub type AnswerNumber = u64;

/// Rate of requests that one incarnation of an upstream states in its answers.
///
/// Answers overlap, and the one that began last decides. An answer without a rate lifts the limit only once it is complete,
/// since a broken answer may lack anything.
#[derive(Clone, Debug, Default)]
pub struct StatedRate {
    /// Number of the answer that decided.
    decided_by: Option<AnswerNumber>,
    requests_per_second: Option<f64>,
}

impl StatedRate {
    /// Records the rate that an answer states, in requests per second, or that a complete answer states none. Reports whether
    /// the rate changed.
    pub fn record(&mut self, answer: AnswerNumber, requests_per_second: Option<f64>) -> bool {
        if self.decided_by >= Some(answer) {
            return false;
        }
        self.decided_by = Some(answer);
        let has_changed = self.requests_per_second != requests_per_second;
        self.requests_per_second = requests_per_second;
        has_changed
    }

    /// Returns the rate in requests per second, or `None` while the upstream states none.
    pub fn requests_per_second(&self) -> Option<f64> {
        self.requests_per_second
    }

    /// Reports whether no answer has decided yet whether there is a limit.
    pub fn is_unknown(&self) -> bool {
        self.decided_by.is_none()
    }
}
