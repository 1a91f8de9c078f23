//! Client of the upstream on this VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use ids::RequestId;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::Answer;
use crate::ClientSettings;
use crate::ControlError;
use crate::DispatchError;
use crate::GrantAnswer;
use crate::GrantMessage;
use crate::Health;
use crate::Request;
use crate::connection::Connection;
use crate::control::CONTROL_CONNECTIONS;
use crate::control::Control;
use crate::exchange::Exchange;
use crate::head::encode;
use crate::order::CancelOrder;
use crate::order::Cancelled;
use crate::order::DrainOrder;
use crate::order::Draining;
use crate::pool::Pool;

/// Time in which a connection that has just answered becomes ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Sends requests and orders to one upstream, within a limit of connections.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    control: Control,
    pool: Pool,
    settings: ClientSettings,
    sockets: Arc<Semaphore>,
    turns: Semaphore,
}

impl UpstreamClient {
    /// Makes a client of the upstream at `address`.
    pub fn new(address: SocketAddr, settings: ClientSettings) -> Self {
        let connections = settings
            .max_connections
            .saturating_sub(CONTROL_CONNECTIONS)
            .max(1);
        let shared = Shared {
            address,
            control: Control::new(address, settings.control_timeout),
            pool: Pool::default(),
            settings,
            sockets: Arc::new(Semaphore::new(connections)),
            turns: Semaphore::new(connections),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the number of connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        let most = self.shared.settings.max_connections;
        let most = most.saturating_sub(CONTROL_CONNECTIONS).max(1);
        most.saturating_sub(self.shared.sockets.available_permits())
    }

    /// Runs a request. When the future is dropped, the connection closes and the request is cancelled.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer. [`DispatchError::is_not_run`] tells whether the request may have run.
    pub async fn dispatch(&self, req: Request, deadline: Instant) -> Result<Answer, DispatchError> {
        let exchange = Exchange::new(self, &req, deadline);
        let req = encode(req, self.shared.address, &self.shared.settings.dialect)?;
        let _turn = timeout_at(deadline.into(), self.shared.turns.acquire())
            .await
            .map_err(|_| DispatchError::NoConnection)?;
        exchange.run(req).await
    }

    /// Changes the upstream's grants.
    ///
    /// # Errors
    ///
    /// Returns why the change may not have been made.
    pub async fn update_grants(&self, message: &GrantMessage) -> Result<GrantAnswer, ControlError> {
        self.shared.control.post("/v1/grants", message).await
    }

    /// Asks for the upstream's health.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn fetch_health(&self) -> Result<Health, ControlError> {
        self.shared.control.get("/v1/health").await
    }

    /// Asks the upstream to finish what runs, and returns how many requests still do.
    ///
    /// # Errors
    ///
    /// Returns why the upstream may not have been told.
    pub async fn drain(&self) -> Result<u32, ControlError> {
        let draining: Draining = self
            .shared
            .control
            .post("/v1/drain", &DrainOrder {})
            .await?;
        Ok(draining.running)
    }

    /// Asks the upstream to stop a request, and returns whether it was stopped or never starts.
    ///
    /// # Errors
    ///
    /// Returns why the upstream may not have been told.
    pub async fn cancel(&self, request_id: &RequestId) -> Result<bool, ControlError> {
        if !self.shared.settings.dialect.has_control_interface {
            return Ok(true);
        }
        let order = CancelOrder { request_id };
        let cancelled: Cancelled = self.shared.control.cancel(&order).await?;
        Ok(cancelled.cancelled)
    }

    /// Returns a connection that answered at most `max_age` ago, or a new one.
    pub(crate) async fn connection(&self, max_age: Duration) -> Result<Connection, DispatchError> {
        while let Some(mut conn) = self.shared.pool.take(max_age) {
            if let Ok(Ok(())) = timeout(READY_TIMEOUT, conn.sender.ready()).await {
                return Ok(conn);
            }
        }
        let patience = self.shared.settings.connect_timeout;
        timeout(patience, self.open())
            .await
            .map_err(|_| DispatchError::NotSent(format!("no connection within {patience:?}")))?
            .map_err(DispatchError::NotSent)
    }

    async fn open(&self) -> Result<Connection, String> {
        let sockets = self.shared.sockets.clone();
        if sockets.available_permits() == 0 {
            self.shared.pool.drop_oldest();
        }
        let permit = sockets
            .acquire_owned()
            .await
            .map_err(|error| error.to_string())?;
        Connection::open(self.shared.address, permit).await
    }

    pub(crate) fn pool(&self) -> &Pool {
        &self.shared.pool
    }

    pub(crate) fn settings(&self) -> &ClientSettings {
        &self.shared.settings
    }
}
