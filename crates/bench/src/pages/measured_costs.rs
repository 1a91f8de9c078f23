//! Measured costs from which the capacity table is computed.

use anyhow::Result;

use crate::pages::results::Results;

/// Measured costs. The name of the benchmark that measures each cost stands in parentheses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeasuredCosts {
    /// Time to clone the fleet state, in milliseconds (`fold`).
    pub(crate) state_copy_ms: f64,
    /// Control traffic of a node in an idle fleet, in bytes per second (`control`, extrapolated to 530 daemons).
    pub(crate) control_bytes_per_second: f64,
    /// CPU time of a daemon in an idle fleet, in percent of a core (`control`, extrapolated to 530 daemons).
    pub(crate) control_cpu_percent: f64,
    /// Memory of a daemon in an idle fleet, in bytes (`control`, extrapolated to 530 daemons).
    pub(crate) control_memory_bytes: f64,
    /// Records folded per second (`fold`).
    pub(crate) folded_per_second: f64,
    /// Time to fold the record that declares a member lost, in milliseconds (`fold`).
    pub(crate) loss_ms: f64,
    /// Time to restore a snapshot and fold the records after it, in milliseconds (`fold`).
    pub(crate) ready_ms: f64,
    /// CPU time of requests in entry and home together, in cores for 2,300 requests per second (`hop`).
    pub(crate) cores_per_2300_requests: f64,
    /// Size of a snapshot, in bytes (`fold`).
    pub(crate) snapshot_bytes: f64,
    /// Memory of one copy of the fleet state, in bytes (`fold`).
    pub(crate) state_bytes: f64,
}

impl MeasuredCosts {
    /// Reads the costs from the saved results.
    ///
    /// # Errors
    ///
    /// Returns an error when a result or a figure is missing.
    pub(crate) fn from_results(results: &Results) -> Result<Self> {
        let fold = |name| results.product_value("fold", name);
        let control = |name| results.product_value("control", name);
        Ok(Self {
            state_copy_ms: fold("time to copy one state")?,
            control_bytes_per_second: control("traffic, extended to 530 daemons, idle")?,
            control_cpu_percent: control("processor, extended to 530 daemons, idle")?,
            control_memory_bytes: control("memory, extended to 530 daemons, idle")?,
            folded_per_second: fold("records folded")?,
            loss_ms: fold("time to fold a loss")?,
            ready_ms: fold("time from start to ready from a snapshot")?,
            cores_per_2300_requests: results
                .product_value("hop", "cores for 2,300 requests/s and node")?,
            snapshot_bytes: fold("size of a snapshot")?,
            state_bytes: fold("memory of one state")?,
        })
    }
}
