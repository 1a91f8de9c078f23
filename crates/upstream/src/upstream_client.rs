//! Client of the upstream on this VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::HeaderMap;
use ids::RequestId;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::Answer;
use crate::AnswerHead;
use crate::AnswerObserver;
use crate::ClientSettings;
use crate::ControlError;
use crate::DispatchError;
use crate::GrantAnswer;
use crate::GrantMessage;
use crate::Health;
use crate::Request;
use crate::connection::Connection;
use crate::connection_pool::ConnectionPool;
use crate::control_client::ControlClient;
use crate::control_client::RESERVED_CONNECTIONS;
use crate::control_messages::CancelRequest;
use crate::control_messages::CancelResponse;
use crate::control_messages::DrainRequest;
use crate::control_messages::DrainResponse;
use crate::exchange::Exchange;
use crate::head::encode_request;

/// Time to wait until a pooled connection is ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Sends requests and control requests to one upstream, within a limit of connections.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    /// Bytes of bodies of answers that may still be received, a permit for each.
    answer_bytes: Semaphore,
    /// Number of answers that have begun.
    answers: AtomicU64,
    control: ControlClient,
    observer: Option<Arc<dyn AnswerObserver>>,
    pool: ConnectionPool,
    settings: ClientSettings,
    connection_permits: Arc<Semaphore>,
    request_permits: Semaphore,
}

impl UpstreamClient {
    /// Creates a client of the upstream at `address`.
    pub fn new(address: SocketAddr, settings: ClientSettings) -> Self {
        Self::build(address, settings, None)
    }

    /// Creates a client of the upstream at `address` whose answers are observed.
    pub fn with_observer(
        address: SocketAddr,
        settings: ClientSettings,
        observer: Arc<dyn AnswerObserver>,
    ) -> Self {
        Self::build(address, settings, Some(observer))
    }

    fn build(
        address: SocketAddr,
        settings: ClientSettings,
        observer: Option<Arc<dyn AnswerObserver>>,
    ) -> Self {
        let max_connections = settings
            .max_connections
            .saturating_sub(RESERVED_CONNECTIONS)
            .max(1);
        let shared = Shared {
            address,
            answer_bytes: Semaphore::new(settings.max_total_answer_bytes),
            answers: AtomicU64::new(0),
            control: ControlClient::new(address, settings.control_timeout),
            observer,
            pool: ConnectionPool::default(),
            settings,
            connection_permits: Arc::new(Semaphore::new(max_connections)),
            request_permits: Semaphore::new(max_connections),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the number of connections that are open or being opened, without those of control requests.
    pub fn open_connections(&self) -> usize {
        let max_connections = self.shared.settings.max_connections;
        let max_connections = max_connections.saturating_sub(RESERVED_CONNECTIONS).max(1);
        max_connections.saturating_sub(self.shared.connection_permits.available_permits())
    }

    /// Sends a request and returns its answer. Dropping the future closes the connection and cancels the request.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid answer. [`DispatchError::is_not_run`] reports whether the request
    /// certainly did not run.
    pub async fn dispatch(&self, req: Request, deadline: Instant) -> Result<Answer, DispatchError> {
        let exchange = Exchange::new(self, &req, deadline);
        let req = encode_request(req, self.shared.address, &self.shared.settings.dialect)?;
        let _permit = timeout_at(deadline.into(), self.shared.request_permits.acquire())
            .await
            .map_err(|_| DispatchError::NoConnection)?;
        exchange.run(req).await
    }

    /// Changes the upstream's grants.
    ///
    /// # Errors
    ///
    /// Returns an error if the change may not have been applied.
    pub async fn update_grants(&self, message: &GrantMessage) -> Result<GrantAnswer, ControlError> {
        self.shared.control.post("/v1/grants", message).await
    }

    /// Fetches the upstream's health.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid answer.
    pub async fn fetch_health(&self) -> Result<Health, ControlError> {
        self.shared.control.get("/v1/health").await
    }

    /// Starts the drain of the upstream, and returns how many requests are still running.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream may not have received the request.
    pub async fn drain(&self) -> Result<u32, ControlError> {
        let draining: DrainResponse = self
            .shared
            .control
            .post("/v1/drain", &DrainRequest {})
            .await?;
        Ok(draining.running)
    }

    /// Cancels a request at the upstream, and returns whether it was stopped or will never start.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream may not have received the cancellation.
    pub async fn cancel(&self, request_id: &RequestId) -> Result<bool, ControlError> {
        if !self.shared.settings.dialect.has_control_interface {
            return Ok(true);
        }
        let req = CancelRequest { request_id };
        let cancelled: CancelResponse = self.shared.control.cancel(&req).await?;
        Ok(cancelled.cancelled)
    }

    /// Returns a pooled connection whose last answer is at most `max_idle_time` old and on which the request was not refused,
    /// or a new one.
    pub(crate) async fn acquire_connection(
        &self,
        max_idle_time: Duration,
        request_id: &RequestId,
    ) -> Result<Connection, DispatchError> {
        while let Some(mut conn) = self.shared.pool.take(max_idle_time, request_id) {
            if let Ok(Ok(())) = timeout(READY_TIMEOUT, conn.ready()).await {
                return Ok(conn);
            }
        }
        let connect_timeout = self.shared.settings.connect_timeout;
        timeout(connect_timeout, self.open_connection())
            .await
            .map_err(|_| {
                DispatchError::NotSent(format!("no connection within {connect_timeout:?}"))
            })?
            .map_err(DispatchError::NotSent)
    }

    async fn open_connection(&self) -> Result<Connection, String> {
        let connection_permits = self.shared.connection_permits.clone();
        if connection_permits.available_permits() == 0 {
            self.shared.pool.drop_longest_idle();
        }
        let permit = connection_permits
            .acquire_owned()
            .await
            .map_err(|error| error.to_string())?;
        Connection::open(
            self.shared.address,
            self.shared.settings.max_answer_bytes,
            permit,
        )
        .await
    }

    /// Reads what the head of an answer states about the upstream, and passes it to the observer.
    pub(crate) fn begin_answer(&self, headers: &HeaderMap) -> AnswerHead {
        let number = self.shared.answers.fetch_add(1, Ordering::Relaxed);
        let head = AnswerHead::new(number, headers, &self.shared.settings.dialect);
        if let Some(observer) = &self.shared.observer {
            observer.begin_answer(&head);
        }
        head
    }

    /// Passes the end of an answer to the observer.
    pub(crate) fn end_answer(&self, head: &AnswerHead) {
        if let Some(observer) = &self.shared.observer {
            observer.end_answer(head);
        }
    }

    /// Passes the repetition of a request to the observer, and reports whether the request may be sent.
    pub(crate) fn repeat_request(&self) -> bool {
        let observer = self.shared.observer.as_ref();
        observer.is_none_or(|observer| observer.repeat_request())
    }

    pub(crate) fn pool(&self) -> &ConnectionPool {
        &self.shared.pool
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.shared.address
    }

    pub(crate) fn answer_bytes(&self) -> &Semaphore {
        &self.shared.answer_bytes
    }

    pub(crate) fn settings(&self) -> &ClientSettings {
        &self.shared.settings
    }
}
