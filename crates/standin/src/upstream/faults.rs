//! Faults of the upstream stand-in.

use serde::Deserialize;
use serde::Serialize;

/// Faults that the upstream stand-in injects. Every `POST /faults` replaces all of them.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// Whether requests above capacity run and slow each other down instead of being shed.
    pub accepts_overload: bool,
    /// Number of further responses that carry the id and body of the previous response.
    pub crossed_answers: u64,
    /// Delay between the end of a request and its response, in milliseconds.
    pub late_ms: u64,
    /// Load to report instead of the actual load.
    pub load: Option<f64>,
    /// Whether all answers state that the upstream is about to stop.
    pub leaving: bool,
    /// Age of the reported load, in milliseconds.
    pub load_lag_ms: u64,
    /// Whether to stop sending announcements.
    pub mute: bool,
    /// Number of requests per second that all answers state as the limit.
    pub rate_limit: Option<f64>,
    /// Whether to shed all requests.
    pub sheds_all: bool,
    /// Whether connections that are open when the faults are set never respond again. Takes effect once; later
    /// connections are not affected.
    pub silence_connections: bool,
    /// Factor by which the work time of requests is multiplied.
    pub straggle_factor: f64,
    /// Whether to restart the warm-up when the faults are set. Takes effect once.
    pub turn_cold: bool,
}

impl Default for UpstreamFaults {
    fn default() -> Self {
        Self {
            accepts_overload: false,
            crossed_answers: 0,
            late_ms: 0,
            leaving: false,
            load: None,
            load_lag_ms: 0,
            mute: false,
            rate_limit: None,
            sheds_all: false,
            silence_connections: false,
            straggle_factor: 1.0,
            turn_cold: false,
        }
    }
}
