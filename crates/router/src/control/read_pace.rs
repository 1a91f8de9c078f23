//! How soon the log is read again after a read with records.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::clock::Clock;

/// Pause while records are expected that this process should not read late.
const SHORT_PAUSE: Duration = Duration::from_millis(100);

/// Time after the start of the process in which pauses are short, since members join and units find their owners.
const START_TIME: Duration = Duration::from_secs(5);

/// Time after a declaration of operators in which pauses are short, as one of the members brings it into the log.
const DECLARATION_TIME: Duration = Duration::from_secs(2);

/// How soon the log is read again after a read with records: soon if records are expected that concern this process, and
/// otherwise late enough that one read finds several.
#[derive(Debug)]
pub(crate) struct ReadPace {
    changed: Condvar,
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    is_urged: bool,
    short_until: Duration,
}

impl ReadPace {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            changed: Condvar::new(),
            clock,
            state: Mutex::new(State {
                is_urged: false,
                short_until: START_TIME,
            }),
        }
    }

    /// Ends the present pause, since a record that concerns this process has been written or is about to be.
    pub(crate) fn urge(&self) {
        self.lock().is_urged = true;
        self.changed.notify_all();
    }

    /// Keeps pauses short for some time, since operators have declared something new.
    pub(crate) fn expect_declaration(&self) {
        self.lock().short_until = self.clock.now() + DECLARATION_TIME;
        self.urge();
    }

    /// Waits for `longest`, or until the log is to be read sooner.
    pub(crate) fn pause(&self, longest: Duration) {
        let state = self.lock();
        let pause = if self.clock.now() < state.short_until {
            longest.min(SHORT_PAUSE)
        } else {
            longest
        };
        let waited = self
            .changed
            .wait_timeout_while(state, pause, |state| !state.is_urged);
        let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.is_urged = false;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
