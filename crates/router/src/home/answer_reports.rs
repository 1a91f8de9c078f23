//! What the answers of the local upstream state about it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use membership::UpstreamProcess;
use policy::StatedRate;
use telemetry::ProcessEvent;
use upstream::AnswerHead;
use upstream::AnswerObserver;
use upstream::RateLimitStatement;

use crate::shared::Shared;

/// Collects what the answers of one upstream process state about it.
#[derive(Debug)]
pub(crate) struct AnswerReports {
    process: UpstreamProcess,
    shared: Arc<Shared>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The last limit that could not be read, until one can be read.
    invalid_limit: Option<String>,
    rate: StatedRate,
    /// Number of requests that were sent once more since the last call of [`AnswerReports::take_repeated`].
    repeated: u32,
}

impl AnswerReports {
    pub(crate) fn new(process: UpstreamProcess, shared: &Arc<Shared>) -> Self {
        Self {
            process,
            shared: Arc::clone(shared),
            state: Mutex::default(),
        }
    }

    /// Returns the number of requests per second that the upstream states it accepts, or `None` while it states none.
    pub(crate) fn requests_per_second(&self) -> Option<f64> {
        self.lock().rate.requests_per_second()
    }

    /// Reports whether no answer has stated yet whether the upstream limits the rate of requests.
    pub(crate) fn is_rate_unknown(&self) -> bool {
        self.lock().rate.is_unknown()
    }

    /// Returns the number of requests that were sent once more since the last call.
    pub(crate) fn take_repeated(&self) -> u32 {
        std::mem::take(&mut self.lock().repeated)
    }

    fn record_rate(&self, answer: u64, requests_per_second: Option<f64>) {
        let mut state = self.lock();
        state.invalid_limit = None;
        let has_changed = state.rate.record(answer, requests_per_second);
        drop(state);
        if !has_changed {
            return;
        }
        let instance = self.process.instance.clone();
        let event = match requests_per_second {
            Some(requests_per_second) => ProcessEvent::UpstreamLimited {
                instance,
                requests_per_second,
            },
            None => ProcessEvent::UpstreamUnlimited { instance },
        };
        self.shared.log_event(event);
    }

    /// Logs a limit that cannot be read, once until another one is stated.
    fn record_invalid_limit(&self, value: &str) {
        let mut state = self.lock();
        if state.invalid_limit.as_deref() == Some(value) {
            return;
        }
        state.invalid_limit = Some(value.to_owned());
        drop(state);
        self.shared.log_event(ProcessEvent::UpstreamLimitInvalid {
            instance: self.process.instance.clone(),
            value: value.to_owned(),
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AnswerObserver for AnswerReports {
    fn begin_answer(&self, head: &AnswerHead) {
        match &head.rate_limit {
            RateLimitStatement::Absent => {}
            RateLimitStatement::Invalid(value) => self.record_invalid_limit(value),
            RateLimitStatement::RequestsPerSecond(rate) => {
                self.record_rate(head.number, Some(*rate));
            }
        }
    }

    fn end_answer(&self, head: &AnswerHead) {
        if head.rate_limit == RateLimitStatement::Absent {
            self.record_rate(head.number, None);
        }
    }

    fn repeat_request(&self) {
        self.lock().repeated += 1;
    }
}
