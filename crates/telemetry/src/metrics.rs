//! Counters, gauges and histograms of a process.

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Result;
use cadence::Counted;
use cadence::Gauged;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Metrics that wait to be sent to a statsd server. More are dropped.
const QUEUED_METRICS: usize = 4_096;

/// Upper bounds of the buckets of latencies, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];

/// Routes with a label of their own. Requests on further ones are counted together.
const LABELLED_ROUTES: usize = 64;

/// Label of routes beyond [`LABELLED_ROUTES`].
const OTHER_ROUTES: &str = "other";

/// Counters, gauges and histograms, read in the text exposition format and, if wished, sent to a statsd server.
///
/// Labels are names of routes, steps, reasons and the like, whose number is bounded; never ids, keys or paths.
pub struct Metrics {
    counters: IntCounterVec,
    gauges: IntGaugeVec,
    latencies: HistogramVec,
    registry: Registry,
    requests: IntCounterVec,
    routes: Mutex<BTreeSet<String>>,
    statsd: Option<StatsdClient>,
}

impl Metrics {
    /// Creates the metrics of a process.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric is declared twice.
    pub fn new() -> Result<Self> {
        let counters = IntCounterVec::new(
            Opts::new(
                "skylarkrudder_events_total",
                "What happened, by kind and outcome.",
            ),
            &["kind", "outcome"],
        )?;
        let gauges = IntGaugeVec::new(
            Opts::new("skylarkrudder_state", "State of the process at present."),
            &["state"],
        )?;
        let latencies = HistogramVec::new(
            HistogramOpts::new("skylarkrudder_seconds", "Time taken, by stage.")
                .buckets(LATENCY_BUCKETS.to_vec()),
            &["stage"],
        )?;
        let requests = IntCounterVec::new(
            Opts::new(
                "skylarkrudder_requests_total",
                "Requests of callers, by route, outcome and reason.",
            ),
            &["route", "outcome", "reason"],
        )?;
        let registry = Registry::new();
        registry.register(Box::new(counters.clone()))?;
        registry.register(Box::new(gauges.clone()))?;
        registry.register(Box::new(latencies.clone()))?;
        registry.register(Box::new(requests.clone()))?;
        Ok(Self {
            counters,
            gauges,
            latencies,
            registry,
            requests,
            routes: Mutex::default(),
            statsd: None,
        })
    }

    /// Sends all metrics to a statsd server besides, under names that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error when no UDP socket can be opened.
    pub fn with_statsd(mut self, address: SocketAddr, prefix: &str, vm: &str) -> Result<Self> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket)?;
        let queue = QueuingMetricSink::with_capacity(sink, QUEUED_METRICS);
        let client = StatsdClient::builder(prefix, queue).with_tag("vm", vm);
        self.statsd = Some(client.build());
        Ok(self)
    }

    /// Counts a request of a caller. `reason` is empty for one that was answered.
    pub fn count_request(&self, route: &str, outcome: &str, reason: &str) {
        let route = self.route_label(route);
        let labels = [route.as_str(), outcome, reason];
        self.requests.with_label_values(&labels).inc();
        if let Some(statsd) = &self.statsd {
            // A metric that cannot be sent is dropped, as the next one tells the same.
            let _ = statsd.count(&format!("request.{outcome}"), 1_i64);
        }
    }

    /// Counts an event of a kind.
    pub fn count_event(&self, kind: &str, outcome: &str) {
        self.counters.with_label_values(&[kind, outcome]).inc();
        if let Some(statsd) = &self.statsd {
            let _ = statsd.count(&format!("{kind}.{outcome}"), 1_i64);
        }
    }

    /// Sets a gauge.
    pub fn set_gauge(&self, state: &str, value: u64) {
        let number = i64::try_from(value).unwrap_or(i64::MAX);
        self.gauges.with_label_values(&[state]).set(number);
        if let Some(statsd) = &self.statsd {
            let _ = statsd.gauge(state, value);
        }
    }

    /// Takes in how long a stage took.
    pub fn record_duration(&self, stage: &str, taken: Duration) {
        let seconds = taken.as_secs_f64();
        self.latencies.with_label_values(&[stage]).observe(seconds);
        if let Some(statsd) = &self.statsd {
            let _ = statsd.time(stage, taken);
        }
    }

    /// Returns all metrics in the text exposition format.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric cannot be written.
    pub fn encode_text(&self) -> Result<String> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }

    fn route_label(&self, route: &str) -> String {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if routes.contains(route) {
            return route.to_owned();
        }
        if routes.len() >= LABELLED_ROUTES {
            return OTHER_ROUTES.to_owned();
        }
        routes.insert(route.to_owned());
        route.to_owned()
    }
}

impl Debug for Metrics {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}
