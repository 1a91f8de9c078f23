//! The Tokio runtime that serves the HTTP requests of one stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use crate::http::Handler;
use crate::http::serve;

const WORKER_THREADS: usize = 2;

/// A runtime for HTTP servers. Dropping it stops all of its tasks without waiting for them.
pub(crate) struct ServerRuntime {
    runtime: Option<Runtime>,
}

impl ServerRuntime {
    pub(crate) fn new() -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()?;
        Ok(Self {
            runtime: Some(runtime),
        })
    }

    /// Starts to serve HTTP requests on an address, and returns the bound address, which has the actual port.
    pub(crate) fn serve<H: Handler>(
        &self,
        listen: SocketAddr,
        handler: Arc<H>,
    ) -> io::Result<SocketAddr> {
        let runtime = self
            .runtime
            .as_ref()
            .expect("the runtime is taken only on drop");
        let listener = runtime.block_on(TcpListener::bind(listen))?;
        let address = listener.local_addr()?;
        runtime.spawn(serve(listener, handler));
        Ok(address)
    }
}

impl Drop for ServerRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
