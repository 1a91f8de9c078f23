//! Settings of an upstream client.

use std::sync::Arc;
use std::time::Duration;

use crate::Dialect;

/// Limits, timeouts and header names of an upstream client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientSettings {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout for a control request.
    pub control_timeout: Duration,
    /// Header names and capabilities of the upstream.
    pub dialect: Arc<Dialect>,
    /// Time since its last answer after which a connection is no longer used for idempotent requests.
    pub idle_timeout: Duration,
    /// Maximum length of an answer's body, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum total length of the bodies of the answers that are being received, in bytes.
    pub max_total_answer_bytes: usize,
    /// Maximum number of open connections, of which 4 are reserved for control requests.
    pub max_connections: usize,
    /// Time since its last answer after which a connection is no longer used for requests that are not idempotent.
    pub non_idempotent_idle_timeout: Duration,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            control_timeout: Duration::from_secs(1),
            dialect: Arc::default(),
            idle_timeout: Duration::from_secs(5),
            max_answer_bytes: 1 << 20,
            max_connections: 80,
            max_total_answer_bytes: 32 << 20,
            non_idempotent_idle_timeout: Duration::from_millis(250),
        }
    }
}
