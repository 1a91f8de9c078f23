//! Settings of a client.

use std::sync::Arc;
use std::time::Duration;

use crate::Dialect;

/// Bounds on what a client uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientSettings {
    /// Length of an answer's body, in bytes.
    pub max_answer_bytes: usize,
    /// Time to open a connection.
    pub connect_timeout: Duration,
    /// Number of connections that are open at once, of which 4 are kept for orders.
    pub max_connections: usize,
    /// Time to carry out an order.
    pub control_timeout: Duration,
    /// Names of headers, and what the upstream understands.
    pub dialect: Arc<Dialect>,
    /// Time after its last answer for which a connection carries an idempotent request.
    pub idle_timeout: Duration,
    /// Time after its last answer for which a connection carries any other request.
    pub non_idempotent_idle_timeout: Duration,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            max_answer_bytes: 1 << 20,
            connect_timeout: Duration::from_millis(500),
            max_connections: 80,
            control_timeout: Duration::from_secs(1),
            dialect: Arc::default(),
            idle_timeout: Duration::from_secs(5),
            non_idempotent_idle_timeout: Duration::from_millis(250),
        }
    }
}
