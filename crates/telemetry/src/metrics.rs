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

/// Maximum number of metrics queued for a statsd server. Further ones are dropped.
const MAX_QUEUED_METRICS: usize = 4_096;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];

/// Maximum number of routes with a label of their own. Requests on further routes are counted together.
const MAX_LABELLED_ROUTES: usize = 64;

/// Label of the routes beyond [`MAX_LABELLED_ROUTES`].
const OTHER_ROUTES_LABEL: &str = "other";

/// Counters, gauges and histograms, exposed in the text exposition format and optionally sent to a statsd server.
///
/// Labels have a bounded number of values, such as names of routes, steps and reasons. Ids, keys and paths are never labels.
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
    /// Returns an error when a metric is registered twice.
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
                .buckets(LATENCY_BUCKETS_S.to_vec()),
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

    /// Also sends all metrics to a statsd server, under names that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error when no UDP socket can be opened.
    pub fn with_statsd(mut self, address: SocketAddr, prefix: &str, vm: &str) -> Result<Self> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket)?;
        let queue = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
        let client = StatsdClient::builder(prefix, queue).with_tag("vm", vm);
        self.statsd = Some(client.build());
        Ok(self)
    }

    /// Counts a request of a caller. `reason` is empty for an answered request.
    pub fn count_request(&self, route: &str, outcome: &str, reason: &str) {
        let route = self.route_label(route);
        let labels = [route.as_str(), outcome, reason];
        self.requests.with_label_values(&labels).inc();
        if let Some(statsd) = &self.statsd {
            // Errors are ignored: a metric that cannot be sent is dropped, as later ones carry the same information.
            let _ = statsd.count(&format!("request.{outcome}"), 1_i64);
        }
    }

    /// Counts an event by its kind and outcome.
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

    /// Records the duration of a stage.
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
    /// Returns an error when a metric cannot be encoded.
    pub fn encode_text(&self) -> Result<String> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }

    /// Returns the label of a route, and reserves one if fewer than [`MAX_LABELLED_ROUTES`] are in use.
    fn route_label(&self, route: &str) -> String {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if routes.contains(route) {
            return route.to_owned();
        }
        if routes.len() >= MAX_LABELLED_ROUTES {
            return OTHER_ROUTES_LABEL.to_owned();
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
