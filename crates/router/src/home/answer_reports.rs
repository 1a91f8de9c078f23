//! What the answers of the local upstream state about it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use membership::Event;
use membership::UpstreamProcess;
use policy::StatedRate;
use telemetry::ProcessEvent;
use upstream::AnswerHead;
use upstream::AnswerObserver;
use upstream::RateLimitStatement;

use crate::control::ControlSender;
use crate::shared::Shared;

/// Collects what the answers of one upstream process state about it.
#[derive(Debug)]
pub(crate) struct AnswerReports {
    control: ControlSender,
    process: UpstreamProcess,
    shared: Arc<Shared>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The last limit that could not be read, until one can be read.
    invalid_limit: Option<String>,
    /// Time at which the last answer began.
    last_answer: Duration,
    /// Time at which an answer first stated that the upstream is about to stop.
    leaving_since: Option<Duration>,
    rate: StatedRate,
    /// Speed that the last answer states of the machine, relative to the usual one.
    stated_speed: Option<f64>,
    /// Number of requests that were sent besides those that the home started, since the last call of
    /// [`AnswerReports::take_extra_requests`].
    extra_requests: u32,
}

impl AnswerReports {
    pub(crate) fn new(
        process: UpstreamProcess,
        control: &ControlSender,
        shared: &Arc<Shared>,
    ) -> Self {
        Self {
            control: control.clone(),
            process,
            shared: Arc::clone(shared),
            state: Mutex::default(),
        }
    }

    /// Returns the number of requests per second that the upstream states it accepts, or `None` while it states none.
    pub(crate) fn requests_per_second(&self) -> Option<f64> {
        self.lock().rate.requests_per_second()
    }

    /// Returns the time at which an answer first stated that the upstream is about to stop.
    pub(crate) fn leaving_since(&self) -> Option<Duration> {
        self.lock().leaving_since
    }

    /// Returns the time at which the last answer began, or zero before the first.
    pub(crate) fn last_answer(&self) -> Duration {
        self.lock().last_answer
    }

    /// Reports whether no answer has stated yet whether the upstream limits the rate of requests.
    pub(crate) fn is_rate_unknown(&self) -> bool {
        self.lock().rate.is_unknown()
    }

    /// Returns the speed that the upstream states of its machine, relative to the usual one, or `None` if it states none.
    pub(crate) fn stated_speed(&self) -> Option<f64> {
        self.lock().stated_speed
    }

    /// Returns the number of requests that were sent besides those that the home started, since the last call.
    pub(crate) fn take_extra_requests(&self) -> u32 {
        std::mem::take(&mut self.lock().extra_requests)
    }

    /// Counts a request that is sent besides those that the home starts.
    pub(crate) fn record_extra_request(&self) {
        self.lock().extra_requests += 1;
    }

    /// Records that the upstream states that it is about to stop, with the same effect as a check-in that says so.
    fn record_leaving(&self) {
        let mut state = self.lock();
        if state.leaving_since.is_some() {
            return;
        }
        state.leaving_since = Some(self.shared.clock.now());
        drop(state);
        let process = self.process.clone();
        let instance = process.instance.clone();
        self.shared
            .log_event(ProcessEvent::UpstreamLeaving { instance });
        self.control.send_event(Event::UpstreamLeft { process });
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
        let mut state = self.lock();
        state.last_answer = self.shared.clock.now();
        if head.stated_speed.is_some() {
            state.stated_speed = head.stated_speed;
        }
        drop(state);
        if head.is_leaving {
            self.record_leaving();
        }
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

    fn repeat_request(&self) -> bool {
        let is_open = self.shared.view().is_zone_open(self.shared.clock.now());
        if is_open {
            self.record_extra_request();
        }
        is_open
    }
}
