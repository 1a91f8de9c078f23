//! Settings for the export of metrics to statsd.

use std::net::SocketAddr;

use serde::Deserialize;

/// Settings for the export of metrics to statsd.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// Prefix of the name of each metric.
    #[serde(default = "default_prefix")]
    pub prefix: String,
    /// Address of the statsd server.
    pub statsd: SocketAddr,
}

fn default_prefix() -> String {
    "skylarkrudder".to_owned()
}
