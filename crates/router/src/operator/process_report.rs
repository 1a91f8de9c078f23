//! The report on the process that answers.

use ids::VmId;
use membership::Status;
use serde::Serialize;

use crate::control_traffic::ControlTrafficReport;

/// State of the process that answers, as reported to operators.
#[derive(Debug, Serialize)]
pub(crate) struct ProcessReport {
    pub(crate) control_traffic: ControlTrafficReport,
    /// Problems of the newest operator declarations.
    pub(crate) invalid_declarations: Vec<String>,
    pub(crate) membership: Status,
    pub(crate) queued: usize,
    pub(crate) running: u32,
    pub(crate) stopping: bool,
    pub(crate) vm: VmId,
}
