//! Control requests to an upstream. Each opens a new connection, since an open one may have stopped responding.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::ControlError;
use crate::connection::Connection;

/// Number of connections reserved for grants, health and drain.
const CONTROL_CONNECTIONS: usize = 2;

/// Number of connections reserved for cancellation.
const CANCEL_CONNECTIONS: usize = 2;

/// Number of connections reserved for all control requests.
pub(crate) const RESERVED_CONNECTIONS: usize = CONTROL_CONNECTIONS + CANCEL_CONNECTIONS;

/// Maximum length of the answer to a control request, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Sends control requests, within a limit of connections.
#[derive(Debug)]
pub(crate) struct ControlClient {
    address: SocketAddr,
    cancel_permits: Semaphore,
    control_permits: Semaphore,
    timeout: Duration,
}

impl ControlClient {
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            cancel_permits: Semaphore::new(CANCEL_CONNECTIONS),
            control_permits: Semaphore::new(CONTROL_CONNECTIONS),
            timeout,
        }
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ControlError> {
        let req = self.request(Method::GET, path, Bytes::new());
        self.send(&self.control_permits, req).await
    }

    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, ControlError> {
        let req = self.request(Method::POST, path, encode_body(body));
        self.send(&self.control_permits, req).await
    }

    pub(crate) async fn cancel<T: DeserializeOwned>(
        &self,
        body: &impl Serialize,
    ) -> Result<T, ControlError> {
        let req = self.request(Method::POST, "/v1/cancel", encode_body(body));
        self.send(&self.cancel_permits, req).await
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .expect("the path is a constant and the address has no control characters")
    }

    async fn send<T: DeserializeOwned>(
        &self,
        permits: &Semaphore,
        req: Request<Full<Bytes>>,
    ) -> Result<T, ControlError> {
        let exchange = async {
            let _permit = permits.acquire().await;
            send_once(self.address, req).await
        };
        let (status, body) = timeout(self.timeout, exchange)
            .await
            .map_err(|_| ControlError::TimedOut(self.timeout))??;
        match status {
            StatusCode::OK => serde_json::from_slice(&body)
                .map_err(|error| ControlError::Invalid(error.to_string())),
            StatusCode::CONFLICT => Err(ControlError::Stale),
            status => Err(ControlError::Invalid(status.to_string())),
        }
    }
}

async fn send_once(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), ControlError> {
    let mut conn = Connection::open(address, MAX_ANSWER_BYTES, ())
        .await
        .map_err(ControlError::NotSent)?;
    let lost = |error: &dyn std::fmt::Display| ControlError::ConnectionLost(error.to_string());
    let res = conn.send(req).await.map_err(|error| lost(error.error()))?;
    let status = res.status();
    let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| lost(&error))?;
    Ok((status, body.to_bytes()))
}

fn encode_body(body: &impl Serialize) -> Bytes {
    serde_json::to_vec(body)
        .expect("control requests have string keys and no values that fail to encode")
        .into()
}
