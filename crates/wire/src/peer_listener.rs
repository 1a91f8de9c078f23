//! Acceptance of links.

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

/// Number of handshakes that go on at once. Further connections are closed.
const MAX_HANDSHAKES: usize = 256;

/// Pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts links, with a bound on connections that have not proved their identity.
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
    /// Accepts links on `listener`.
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

    /// Returns the next link whose peer has proved its identity. Nothing is lost when the future is dropped.
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
                        log::warn!("cannot accept a link ({error}): raise the limit of open files");
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                Some(ended) = self.handshakes.join_next() => match ended {
                    Ok(Ok(opened)) => return opened,
                    Ok(Err(error)) => log::debug!("no link: {error}"),
                    Err(error) => log::error!("a handshake ended early: {error}"),
                },
            }
        }
    }

    fn start_handshake(&mut self, stream: TcpStream, addr: SocketAddr) {
        if self.handshakes.len() >= MAX_HANDSHAKES {
            log::warn!("connection of {addr} closed, since {MAX_HANDSHAKES} handshakes go on");
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
