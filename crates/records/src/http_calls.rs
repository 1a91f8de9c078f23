//! HTTP helpers for clients of a log.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::Body;
use ureq::Error;
use ureq::Timeout;
use ureq::http::Response;
use ureq::unversioned::resolver::DefaultResolver;

use crate::WaitingCalls;
use crate::keep_alive_connector::KeepAliveConnector;

/// Maximum length of a response body in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// Creates an agent that opens a new connection for every call, since an idle connection may have
/// become unresponsive. A call fails within 3 s if the machine of the server no longer answers.
/// `connect_timeout` bounds the time to connect; if it is `None`, only the timeout of the whole call
/// applies.
pub fn unpooled_agent(connect_timeout: Option<Duration>) -> Agent {
    waiting_agent(connect_timeout).0
}

/// Creates an agent like [`unpooled_agent`], and returns it with its calls that wait for their response.
pub fn waiting_agent(connect_timeout: Option<Duration>) -> (Agent, Arc<WaitingCalls>) {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(connect_timeout)
        .build();
    let calls = Arc::new(WaitingCalls::default());
    let connector = KeepAliveConnector::new(Arc::clone(&calls));
    let agent = Agent::with_parts(config, connector, DefaultResolver::default());
    (agent, calls)
}

/// Reports whether a call failed before any part of it was sent.
pub fn failed_before_sending(error: &Error) -> bool {
    match error {
        Error::BadUri(_) | Error::ConnectionFailed | Error::HostNotFound => true,
        Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        Error::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Reads the body of a response.
///
/// # Errors
///
/// Returns an error if the body is too large or the connection fails.
pub fn read_body(mut res: Response<Body>) -> Result<Vec<u8>, Error> {
    res.body_mut()
        .with_config()
        .limit(MAX_BODY_BYTES)
        .read_to_vec()
}

/// Reads the body of a response as JSON.
///
/// # Errors
///
/// Returns an error if the body is too large, the connection fails, or the body is not a valid `T`.
pub fn read_json<T: DeserializeOwned>(res: Response<Body>) -> Result<T, Error> {
    serde_json::from_slice(&read_body(res)?).map_err(Error::Json)
}
