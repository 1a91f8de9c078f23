//! What capacity is worked out from.

use anyhow::Result;

use crate::pages::results::Results;

/// Measured costs, each with the benchmark that it comes from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeasuredCosts {
    /// Time to copy the state, in milliseconds (`fold`).
    pub(crate) state_copy_ms: f64,
    /// Traffic of control in a quiet fleet, in bytes a second (`control`, extended to 530).
    pub(crate) control_bytes_per_second: f64,
    /// Processor time of control in a quiet fleet, in percent of a core (`control`, extended to 530).
    pub(crate) control_cpu_percent: f64,
    /// Memory of a process in a quiet fleet, in bytes (`control`, extended to 530).
    pub(crate) control_memory_bytes: f64,
    /// Records that are folded each second (`fold`).
    pub(crate) folded_per_second: f64,
    /// Time to fold the loss of a member, in milliseconds (`fold`).
    pub(crate) loss_ms: f64,
    /// Time from start to ready from a snapshot, in milliseconds (`fold`).
    pub(crate) ready_ms: f64,
    /// Processor time of a request in entry and home together, in cores for 2,300 requests a second (`hop`).
    pub(crate) cores_per_2300_requests: f64,
    /// Size of a snapshot, in bytes (`fold`).
    pub(crate) snapshot_bytes: f64,
    /// Memory of one state, in bytes (`fold`).
    pub(crate) state_bytes: f64,
}

impl MeasuredCosts {
    /// Reads the costs from kept results.
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
