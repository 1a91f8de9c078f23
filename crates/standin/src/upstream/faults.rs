//! Faults of the upstream stand-in.

use serde::Deserialize;
use serde::Serialize;

/// Faults that the upstream stand-in injects. Every order replaces all of them.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// Whether requests beyond what it bears run, and slow each other down, in place of being shed.
    pub accepts_overload: bool,
    /// Number of coming answers that carry the id and body of the request answered before.
    pub crossed_answers: u64,
    /// Time between the end of a request and its answer, in milliseconds.
    pub late_ms: u64,
    /// LoadHistory to report in place of the true one.
    pub load: Option<f64>,
    /// Age of the load that is reported, in milliseconds.
    pub load_lag_ms: u64,
    /// Whether announcements stop.
    pub mute: bool,
    /// Whether all requests are shed.
    pub sheds_all: bool,
    /// Makes every connection that is open at the order silent for good, once.
    pub silence_connections: bool,
    /// Factor on the time that requests take.
    pub straggle_factor: f64,
    /// Starts the cold-start curve anew at the order, once.
    pub turn_cold: bool,
}

impl Default for UpstreamFaults {
    fn default() -> Self {
        Self {
            accepts_overload: false,
            crossed_answers: 0,
            late_ms: 0,
            load: None,
            load_lag_ms: 0,
            mute: false,
            sheds_all: false,
            silence_connections: false,
            straggle_factor: 1.0,
            turn_cold: false,
        }
    }
}
