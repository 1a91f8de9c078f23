//! Calls that wait for their response.

use std::net::Shutdown;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::connection::Connection;

/// Calls of an agent that wait for their response, each on a connection of its own.
///
/// A service that was silent may never respond to a call, although its machine still answers keep-alive probes, so that
/// only the caller can end it.
#[derive(Debug, Default)]
pub struct WaitingCalls {
    calls: Mutex<Vec<WaitingCall>>,
}

#[derive(Debug)]
struct WaitingCall {
    connection: Weak<Connection>,
    started: Instant,
}

impl WaitingCalls {
    pub(crate) fn add(&self, connection: &Arc<Connection>) {
        let mut calls = self.lock();
        calls.retain(|call| call.connection.strong_count() > 0);
        calls.push(WaitingCall {
            connection: Arc::downgrade(connection),
            started: Instant::now(),
        });
    }

    /// Ends the calls that have waited for `age` or longer, and returns their number. They fail. Calls whose response has
    /// begun to arrive go on.
    pub fn end(&self, age: Duration) -> usize {
        let mut ended = 0;
        self.lock().retain(|call| {
            let Some(connection) = call.connection.upgrade() else {
                return false;
            };
            if connection.has_response.load(Ordering::Relaxed) {
                return false;
            }
            if call.started.elapsed() < age {
                return true;
            }
            // The connection may have failed already.
            let _ = connection.stream.shutdown(Shutdown::Both);
            ended += 1;
            false
        });
        ended
    }

    fn lock(&self) -> MutexGuard<'_, Vec<WaitingCall>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
