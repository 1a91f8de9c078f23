//! The accept loop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Handler;
use crate::Limits;
use crate::RefusalReason;
use crate::RemoteAddress;
use crate::connection::send_refusal;
use crate::connection::serve_connection;
use crate::connection_context::ConnectionContext;
use crate::connection_state::ConnectionState;

/// Delay after a failed accept. The usual cause is that no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of connections over the limit that receive a refusal concurrently. Others are closed without one.
const MAX_REFUSED_CONNECTIONS: usize = 32;

/// Serves a listener until `stop` is cancelled, and returns once every running request is answered and every
/// connection has closed.
///
/// # Panics
///
/// Panics outside a Tokio runtime with timers.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    handler: Arc<H>,
    stop: CancellationToken,
) {
    let server = Server {
        handler,
        held_bytes: Arc::default(),
        connection_permits: Arc::new(Semaphore::new(limits.connections)),
        limits: Arc::new(limits),
        refusal_permits: Arc::new(Semaphore::new(MAX_REFUSED_CONNECTIONS)),
        stop,
        tasks: TaskTracker::new(),
    };
    server.run(listener).await;
}

struct Server<H> {
    connection_permits: Arc<Semaphore>,
    handler: Arc<H>,
    held_bytes: Arc<AtomicUsize>,
    limits: Arc<Limits>,
    refusal_permits: Arc<Semaphore>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl<H: Handler> Server<H> {
    async fn run(&self, listener: TcpListener) {
        loop {
            tokio::select! {
                accepted = listener.accept() => self.handle_accept(accepted).await,
                () = self.stop.cancelled() => break,
            }
        }
        self.accept_backlog(&listener).await;
        drop(listener);
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Accepts connections that the kernel has already completed, since closing the listener would reset them.
    async fn accept_backlog(&self, listener: &TcpListener) {
        for _ in 0..self.limits.connections {
            tokio::select! {
                biased;
                accepted = listener.accept() => self.handle_accept(accepted).await,
                () = std::future::ready(()) => return,
            }
        }
    }

    async fn handle_accept(&self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, remote)) => self.start_connection(stream, RemoteAddress(remote)),
            Err(error) => {
                log::warn!("cannot accept a connection ({error}): raise the limit of open files");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    fn start_connection(&self, stream: TcpStream, remote_address: RemoteAddress) {
        let _ = stream.set_nodelay(true);
        let Ok(permit) = self.connection_permits.clone().try_acquire_owned() else {
            self.refuse_connection(stream);
            return;
        };
        let context = ConnectionContext {
            handler: self.handler.clone(),
            held_bytes: self.held_bytes.clone(),
            limits: self.limits.clone(),
            remote_address,
            state: Arc::new(ConnectionState::default()),
            stop: self.stop.clone(),
        };
        self.tasks.spawn(async move {
            serve_connection(stream, context).await;
            drop(permit);
        });
    }

    fn refuse_connection(&self, stream: TcpStream) {
        let Ok(permit) = self.refusal_permits.clone().try_acquire_owned() else {
            return;
        };
        let limit = self.limits.connections;
        let res = self
            .handler
            .refuse(RefusalReason::TooManyConnections { limit });
        self.tasks.spawn(async move {
            send_refusal(stream, res).await;
            drop(permit);
        });
    }
}
