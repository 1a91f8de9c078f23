//! Calls over HTTP, as clients of a log make them.

use std::io::ErrorKind;
use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::Body;
use ureq::Error;
use ureq::Timeout;
use ureq::http::Response;

/// Largest answer that is read, in bytes.
const ANSWER_LIMIT_BYTES: u64 = 16 << 20;

/// Returns an agent that takes a new connection for every call, since an idle one may have gone silent. `connect` is the
/// time to open one, `None` for that of the whole call.
pub fn unpooled_agent(connect: Option<Duration>) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(connect)
        .build()
        .into()
}

/// Tells whether a call failed before any part of it was sent.
pub fn failed_before_sending(error: &Error) -> bool {
    match error {
        Error::BadUri(_) | Error::ConnectionFailed | Error::HostNotFound => true,
        Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        Error::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Reads the body of an answer.
///
/// # Errors
///
/// Returns an error when the answer is too large or is lost on its way.
pub fn read_body(mut res: Response<Body>) -> Result<Vec<u8>, Error> {
    res.body_mut()
        .with_config()
        .limit(ANSWER_LIMIT_BYTES)
        .read_to_vec()
}

/// Reads the body of an answer as JSON.
///
/// # Errors
///
/// Returns an error when the answer is too large, is lost on its way, or holds another value.
pub fn read_json<T: DeserializeOwned>(res: Response<Body>) -> Result<T, Error> {
    serde_json::from_slice(&read_body(res)?).map_err(Error::Json)
}
