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
use crate::connection::refuse;
use crate::connection::serve_connection;
use crate::exchange::Exchange;
use crate::phase::Phase;

/// Pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Number of connections over the limit that are told so at once. Others are closed without a word.
const REFUSING_CONNECTIONS: usize = 32;

/// Serves a listener until `stop` is cancelled, and returns once every running request is answered.
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
        held: Arc::default(),
        open: Arc::new(Semaphore::new(limits.connections)),
        limits: Arc::new(limits),
        refusing: Arc::new(Semaphore::new(REFUSING_CONNECTIONS)),
        stop,
        tasks: TaskTracker::new(),
    };
    server.run(listener).await;
}

struct Server<H> {
    handler: Arc<H>,
    held: Arc<AtomicUsize>,
    limits: Arc<Limits>,
    open: Arc<Semaphore>,
    refusing: Arc<Semaphore>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl<H: Handler> Server<H> {
    async fn run(&self, listener: TcpListener) {
        loop {
            tokio::select! {
                accepted = listener.accept() => self.accepted(accepted).await,
                () = self.stop.cancelled() => break,
            }
        }
        self.take_waiting(&listener).await;
        drop(listener);
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Takes connections that the kernel has completed already, since closing the listener would reset them.
    async fn take_waiting(&self, listener: &TcpListener) {
        for _ in 0..self.limits.connections {
            tokio::select! {
                biased;
                accepted = listener.accept() => self.accepted(accepted).await,
                () = std::future::ready(()) => return,
            }
        }
    }

    async fn accepted(&self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, _)) => self.admit(stream),
            Err(error) => {
                log::warn!("cannot accept a connection ({error}): raise the limit of open files");
                sleep(ACCEPT_RETRY).await;
            }
        }
    }

    fn admit(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(permit) = self.open.clone().try_acquire_owned() else {
            self.turn_away(stream);
            return;
        };
        let exchange = Exchange {
            handler: self.handler.clone(),
            held: self.held.clone(),
            limits: self.limits.clone(),
            phase: Arc::new(Phase::default()),
            stop: self.stop.clone(),
        };
        self.tasks.spawn(async move {
            serve_connection(stream, exchange).await;
            drop(permit);
        });
    }

    fn turn_away(&self, stream: TcpStream) {
        let Ok(permit) = self.refusing.clone().try_acquire_owned() else {
            return;
        };
        let limit = self.limits.connections;
        let res = self
            .handler
            .refuse(RefusalReason::TooManyConnections { limit });
        self.tasks.spawn(async move {
            refuse(stream, res).await;
            drop(permit);
        });
    }
}
