//! Checks whether the process of an upstream has ended.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::UpstreamClient;

/// Maximum number of checks. A process that is ending may accept a connection that breaks at once.
const MAX_CHECKS: u32 = 3;

/// Time between two checks.
const CHECK_PAUSE: Duration = Duration::from_millis(20);

/// Time for which a new connection must hold before the process counts as running.
const SETTLE_TIME: Duration = Duration::from_millis(20);

impl UpstreamClient {
    /// Reports whether the upstream process `instance` has ended: its address refuses connections, or another process answers
    /// there.
    ///
    /// Nothing else shows that a process has ended: not a connection that breaks, an answer that is invalid, a refusal or
    /// silence.
    pub async fn has_ended(&self, instance: &str) -> bool {
        for _ in 0..MAX_CHECKS {
            if let Some(has_ended) = self.check_process(instance).await {
                return has_ended;
            }
            sleep(CHECK_PAUSE).await;
        }
        false
    }

    /// Returns whether the process has ended, or `None` if the check does not tell.
    async fn check_process(&self, instance: &str) -> Option<bool> {
        let connecting = TcpStream::connect(self.address());
        let stream = match timeout(self.settings().connect_timeout, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return Some(true),
            Ok(Err(_)) | Err(_) => return None,
        };
        if self.settings().dialect.has_control_interface {
            drop(stream);
            let health = self.fetch_health().await.ok()?;
            return Some(health.instance != instance);
        }
        // The upstream sends nothing before a request, so a readable connection has ended.
        let has_held = timeout(SETTLE_TIME, stream.readable()).await.is_err();
        has_held.then_some(false)
    }
}
