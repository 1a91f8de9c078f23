//! Listener for links from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::DropCounters;
use crate::Identity;
use crate::IncomingMessages;
use crate::Link;
use crate::LinkError;
use crate::LinkSettings;
use crate::Secret;
use crate::accept;

/// Maximum number of concurrent handshakes. Further connections are closed.
const MAX_HANDSHAKES: usize = 256;

/// Delay after a failed accept. The usual cause is that no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts links, with a limit on unauthenticated connections.
#[derive(Debug)]
pub struct PeerListener {
    counters: Arc<DropCounters>,
    handshakes: JoinSet<Result<(Link, IncomingMessages), LinkError>>,
    listener: TcpListener,
    local: Identity,
    secret: Secret,
    settings: LinkSettings,
}

impl PeerListener {
    /// Creates a listener that accepts links on `listener`.
    pub fn new(
        listener: TcpListener,
        secret: Secret,
        local: Identity,
        settings: LinkSettings,
        counters: Arc<DropCounters>,
    ) -> Self {
        Self {
            counters,
            handshakes: JoinSet::new(),
            listener,
            local,
            secret,
            settings,
        }
    }

    /// Returns the next link whose peer is authenticated. Cancel safe: no connection is lost when the
    /// future is dropped.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime with timers.
    pub async fn accept(&mut self) -> (Link, IncomingMessages) {
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, addr)) => self.start_handshake(stream, addr),
                    Err(error) => {
                        log::warn!("cannot accept a connection ({error}): raise the limit of open files");
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                Some(ended) = self.handshakes.join_next() => match ended {
                    Ok(Ok(opened)) => return opened,
                    Ok(Err(error)) => log::debug!("handshake failed: {error}"),
                    Err(error) => log::error!("handshake task failed: {error}"),
                },
            }
        }
    }

    fn start_handshake(&mut self, stream: TcpStream, addr: SocketAddr) {
        if self.handshakes.len() >= MAX_HANDSHAKES {
            log::warn!(
                "connection from {addr} closed, since {MAX_HANDSHAKES} handshakes are in progress"
            );
            return;
        }
        let counters = self.counters.clone();
        let local = self.local.clone();
        let secret = self.secret.clone();
        let settings = self.settings.clone();
        self.handshakes
            .spawn(async move { accept(stream, &secret, &local, &settings, &counters).await });
    }
}
