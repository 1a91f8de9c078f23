//! HTTP client of the log service.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ids::Offset;
use serde::Deserialize;
use ureq::Agent;
use ureq::Error;
use ureq::http::StatusCode;

use crate::AppendError;
use crate::Batch;
use crate::Log;
use crate::ReadError;
use crate::WaitingCalls;
use crate::http_calls::failed_before_sending;
use crate::http_calls::read_json;
use crate::http_calls::unpooled_agent;
use crate::http_calls::waiting_agent;

/// HTTP client of the log service, which is reachable at any of several addresses.
///
/// Every request opens a new connection, since an idle connection may have become unresponsive.
#[derive(Debug)]
pub struct HttpLog {
    addresses: Vec<String>,
    agent: Agent,
    preferred: AtomicUsize,
    timeout: Duration,
    /// Agent of reads that wait for records.
    waiting_agent: Agent,
    waiting_reads: Arc<WaitingCalls>,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: Offset,
}

#[derive(Deserialize)]
struct ExpiredResponse {
    first: Offset,
}

/// Result of one read from one address.
enum ReadAttempt {
    Done(Result<Batch, ReadError>),
    Failed(String),
    TooLarge,
}

impl HttpLog {
    /// Creates a client of the log service at `addresses`, each such as `127.0.0.1:7000` or `http://127.0.0.1:7000`.
    ///
    /// An attempt is aborted after `timeout`. For reads, the time to wait for records is added.
    pub fn new(addresses: Vec<String>, timeout: Duration) -> Self {
        let (waiting_agent, waiting_reads) = waiting_agent(None);
        Self {
            addresses: addresses
                .into_iter()
                .map(|address| base_url(&address))
                .collect(),
            agent: unpooled_agent(None),
            preferred: AtomicUsize::new(0),
            timeout,
            waiting_agent,
            waiting_reads,
        }
    }

    /// Returns every address with its index, in order from the preferred one.
    fn addresses_by_preference(&self) -> impl Iterator<Item = (usize, &str)> {
        let count = self.addresses.len();
        let preferred = self.preferred.load(Ordering::Relaxed);
        (0..count).map(move |distance| {
            let index = (preferred + distance) % count;
            (index, self.addresses[index].as_str())
        })
    }

    fn set_preferred(&self, index: usize) {
        self.preferred.store(index, Ordering::Relaxed);
    }

    fn append_at(&self, address: &str, record: &[u8]) -> Result<Offset, AppendError> {
        let res = self
            .agent
            .post(format!("{address}/v1/records"))
            .config()
            .timeout_global(Some(self.timeout))
            .build()
            .send(record)
            .map_err(|error| append_error(address, &error))?;
        match res.status() {
            StatusCode::OK => read_json::<AppendResponse>(res)
                .map(|appended| appended.offset)
                .map_err(|error| AppendError::Unknown(format!("{address}: {error}"))),
            status @ (StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE) => {
                Err(AppendError::Unacceptable(format!("{address}: {status}")))
            }
            status @ (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {
                Err(AppendError::Refused(format!("{address}: {status}")))
            }
            status => Err(AppendError::Unknown(format!("{address}: {status}"))),
        }
    }

    fn read_at(&self, address: &str, from: Offset, max: usize, wait: Duration) -> ReadAttempt {
        let wait_ms = wait.as_millis();
        let url = format!("{address}/v1/records?from={from}&max={max}&wait_ms={wait_ms}");
        let agent = match wait.is_zero() {
            true => &self.agent,
            false => &self.waiting_agent,
        };
        let res = agent
            .get(url)
            .config()
            .timeout_global(Some(self.timeout + wait))
            .build()
            .call();
        let res = match res {
            Ok(res) => res,
            Err(error) => return ReadAttempt::Failed(format!("{address}: {error}")),
        };
        match res.status() {
            StatusCode::OK => match read_json::<Batch>(res) {
                Ok(batch) => ReadAttempt::Done(check_offsets(batch, from, address)),
                Err(Error::BodyExceedsLimit(_)) => ReadAttempt::TooLarge,
                Err(error) => ReadAttempt::Failed(format!("{address}: {error}")),
            },
            StatusCode::GONE => match read_json::<ExpiredResponse>(res) {
                Ok(ExpiredResponse { first }) => {
                    ReadAttempt::Done(Err(ReadError::Expired { first }))
                }
                Err(error) => ReadAttempt::Failed(format!("{address}: {error}")),
            },
            status => ReadAttempt::Failed(format!("{address}: {status}")),
        }
    }
}

impl Log for HttpLog {
    fn append(&self, record: &[u8]) -> Result<Offset, AppendError> {
        let mut refusals = Vec::new();
        for (index, address) in self.addresses_by_preference() {
            match self.append_at(address, record) {
                Ok(offset) => {
                    self.set_preferred(index);
                    return Ok(offset);
                }
                Err(AppendError::Refused(reason)) => refusals.push(reason),
                Err(error @ AppendError::Unacceptable(_)) => return Err(error),
                Err(error @ AppendError::Unknown(_)) => {
                    self.set_preferred(index + 1);
                    self.end_overdue_reads(Duration::ZERO);
                    return Err(error);
                }
            }
        }
        Err(AppendError::Refused(refusals.join("; ")))
    }

    fn read(&self, from: Offset, max: usize, wait: Duration) -> Result<Batch, ReadError> {
        let mut max = max;
        let mut failures = Vec::new();
        for (index, address) in self.addresses_by_preference() {
            loop {
                match self.read_at(address, from, max, wait) {
                    ReadAttempt::Done(result) => {
                        self.set_preferred(index);
                        return result;
                    }
                    ReadAttempt::TooLarge if max > 1 => max /= 2,
                    ReadAttempt::TooLarge => {
                        failures.push(format!("{address}: a record is too large"));
                        break;
                    }
                    ReadAttempt::Failed(reason) => {
                        failures.push(reason);
                        break;
                    }
                }
            }
        }
        Err(ReadError::Unavailable(failures.join("; ")))
    }

    fn end_overdue_reads(&self, age: Duration) -> usize {
        self.waiting_reads.end(age)
    }
}

fn base_url(address: &str) -> String {
    let address = address.trim_end_matches('/');
    if address.contains("://") {
        address.to_owned()
    } else {
        format!("http://{address}")
    }
}

fn append_error(address: &str, error: &Error) -> AppendError {
    let reason = format!("{address}: {error}");
    if failed_before_sending(error) {
        AppendError::Refused(reason)
    } else {
        AppendError::Unknown(reason)
    }
}

/// Returns an error if the offsets of the records do not count up from `from`, since the log has no gaps.
fn check_offsets(batch: Batch, from: Offset, address: &str) -> Result<Batch, ReadError> {
    let offsets = batch.records.iter().map(|stored| stored.offset);
    if offsets.eq(from..from + batch.records.len() as Offset) {
        Ok(batch)
    } else {
        let reason = format!("{address}: the records do not follow offset {from}");
        Err(ReadError::Unavailable(reason))
    }
}
