//! Description of a load to send.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::Serialize;
use tokio::runtime::Builder;
use tokio::sync::mpsc;

use crate::LoadReport;
use crate::RequestStream;
use crate::caller::Client;
use crate::caller::run_stream;

const WORKER_THREADS: usize = 2;

/// Streams of requests that are sent concurrently.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Time over which requests are sent, in milliseconds.
    pub duration_ms: u64,
    /// Caller addresses of the entries. Each request goes to a random one.
    pub entries: Vec<SocketAddr>,
    /// Seed for the random choice of arrival times, keys and entries.
    pub seed: u64,
    /// The streams.
    pub streams: Vec<RequestStream>,
    /// Time-out of a request at the caller, in milliseconds.
    pub timeout_ms: u64,
}

impl LoadPlan {
    /// Returns a plan without streams.
    pub fn new(entries: Vec<SocketAddr>, duration: Duration) -> Self {
        Self {
            duration_ms: u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
            entries,
            seed: 1,
            streams: Vec::new(),
            timeout_ms: 30_000,
        }
    }

    /// Adds a stream.
    pub fn with_stream(mut self, stream: RequestStream) -> Self {
        self.streams.push(stream);
        self
    }

    /// Sends the load, and returns once every request has been answered or has timed out.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the runtime and its threads cannot be started.
    ///
    /// # Panics
    ///
    /// Panics if there are no entries, or the rate of a stream is not positive.
    pub fn run(&self) -> io::Result<LoadReport> {
        assert!(
            !self.entries.is_empty(),
            "a load plan must name at least one entry"
        );
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()?;
        let observations = runtime.block_on(self.send());
        Ok(LoadReport::new(observations))
    }

    async fn send(&self) -> Vec<crate::Observation> {
        let client = Client {
            entries: self.entries.clone(),
            http: HyperClient::builder(TokioExecutor::new()).build_http(),
            timeout: Duration::from_millis(self.timeout_ms),
        };
        let client = Arc::new(client);
        let duration = Duration::from_millis(self.duration_ms);
        let (tx, mut rx) = mpsc::unbounded_channel();
        for (seed, stream) in (self.seed..).zip(&self.streams) {
            let client = Arc::clone(&client);
            let run = run_stream(client, stream.clone(), seed, duration, tx.clone());
            tokio::spawn(run);
        }
        drop(tx);
        let mut observations = Vec::new();
        while let Some(observation) = rx.recv().await {
            observations.push(observation);
        }
        observations
    }
}
