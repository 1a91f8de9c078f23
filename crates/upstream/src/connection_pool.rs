//! Pool of idle connections.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use ids::RequestId;
use std::time::Instant;

use crate::connection::Connection;

/// Idle connections to one upstream, with the most recently used one at the back.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<VecDeque<Connection>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection on which the request was not refused, unless its last answer is older than
    /// `max_idle_time`.
    pub(crate) fn take(
        &self,
        max_idle_time: Duration,
        request_id: &RequestId,
    ) -> Option<Connection> {
        let mut idle = self.lock_idle();
        idle.retain(|conn| !conn.is_closed());
        let is_usable = |conn: &Connection| {
            conn.last_answer.elapsed() <= max_idle_time && !conn.has_refused(request_id)
        };
        let index = idle.iter().rposition(is_usable)?;
        idle.remove(index)
    }

    /// Adds a connection that has just received an answer.
    pub(crate) fn put(&self, mut conn: Connection) {
        conn.last_answer = Instant::now();
        conn.has_answered = true;
        self.lock_idle().push_back(conn);
    }

    /// Drops the connections whose last answer is older than `max_idle_time`.
    pub(crate) fn drop_idle_longer_than(&self, max_idle_time: Duration) {
        self.lock_idle()
            .retain(|conn| conn.last_answer.elapsed() <= max_idle_time);
    }

    /// Drops the connection that has been idle for the longest time.
    pub(crate) fn drop_longest_idle(&self) {
        self.lock_idle().pop_front();
    }

    fn lock_idle(&self) -> MutexGuard<'_, VecDeque<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
