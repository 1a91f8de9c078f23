//! Client of the log stand-in, for tests.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cluster::Body;
use cluster::Record;
use ids::Offset;
use serde::Deserialize;
use ureq::Agent;
use uuid::Uuid;

use crate::LogFaults;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Name of the writer in appended records.
const WRITER: &str = "test";

/// Client that appends and reads records of a log stand-in and sets its faults.
#[derive(Clone, Debug)]
pub struct LogClient {
    address: SocketAddr,
    agent: Agent,
}

#[derive(Debug, Deserialize)]
struct AppendResponse {
    offset: Offset,
}

#[derive(Debug, Deserialize)]
struct ReadResponse {
    records: Vec<OffsetRecord>,
}

#[derive(Debug, Deserialize)]
struct OffsetRecord {
    offset: Offset,
    body: String,
}

impl LogClient {
    /// Creates a client of the log stand-in at an address.
    pub fn new(address: SocketAddr) -> Self {
        let agent = Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .build()
            .into();
        Self { address, agent }
    }

    /// Returns the base URL of the service.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Appends a record with a new id and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns the error as text when the request fails or the service responds with an error.
    pub fn append(&self, body: Body) -> Result<Offset, String> {
        let record = Record {
            body,
            id: Uuid::now_v7().to_string(),
            writer: WRITER.to_owned(),
        };
        let text = serde_json::to_string(&record).expect("a record serializes to JSON");
        let response = self.post("/v1/records", &text)?;
        let appended = response.into_body().read_json::<AppendResponse>();
        appended
            .map(|appended| appended.offset)
            .map_err(|error| error.to_string())
    }

    /// Returns the records starting at an offset, each with its offset.
    ///
    /// # Errors
    ///
    /// Returns the error as text when the request fails or the service responds with an error.
    pub fn read(&self, from: Offset) -> Result<Vec<(Offset, String)>, String> {
        let url = format!("{}/v1/records?from={from}", self.url());
        let response = self.agent.get(url).call();
        let page = response.and_then(|response| response.into_body().read_json::<ReadResponse>());
        let records = page.map_err(|error| error.to_string())?.records;
        Ok(records
            .into_iter()
            .map(|record| (record.offset, record.body))
            .collect())
    }

    /// Replaces the faults that the service injects.
    ///
    /// # Errors
    ///
    /// Returns the error as text when the request fails or the service responds with an error.
    pub fn set_faults(&self, faults: &LogFaults) -> Result<(), String> {
        let text = serde_json::to_string(faults).expect("faults serialize to JSON");
        self.post("/faults", &text).map(|_| ())
    }

    /// Waits until the service responds successfully, or returns the last error after the time-out.
    pub(crate) fn wait_until_ready(&self, timeout: Duration) -> Result<(), String> {
        let deadline = Instant::now() + timeout;
        loop {
            match self.read(1) {
                Ok(_) => return Ok(()),
                Err(error) if Instant::now() >= deadline => return Err(error),
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    fn post(&self, path: &str, text: &str) -> Result<ureq::http::Response<ureq::Body>, String> {
        let url = format!("{}{path}", self.url());
        self.agent
            .post(url)
            .send(text)
            .map_err(|error| error.to_string())
    }
}
