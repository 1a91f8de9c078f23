//! A row of the capacity table.

use crate::pages::measures::format_number;

/// Costs of one role of a node, or of one event such as the loss of a zone.
#[derive(Clone, Debug)]
pub(crate) struct CapacityRow {
    /// Name of the role or event.
    pub(crate) label: &'static str,
    /// Size of the state, in bytes.
    pub(crate) state_bytes: Option<f64>,
    /// Messages or records: per second for a role, total or per second for an event.
    pub(crate) messages_per_second: Option<f64>,
    /// Bytes: per second for a role, total or per second for an event.
    pub(crate) bytes_per_second: Option<f64>,
    /// CPU time, in percent of a core.
    pub(crate) cpu_percent: Option<f64>,
    /// Whether the costs fit the limits, and if not, which limit is exceeded.
    pub(crate) verdict: String,
    /// Mechanism that handles or bounds the cost.
    pub(crate) mechanism: &'static str,
}

impl CapacityRow {
    /// Formats the row as a line of a Markdown table.
    pub(crate) fn to_markdown(&self) -> String {
        let cell = |value: Option<f64>| value.map(format_number).unwrap_or_default();
        format!(
            "| {} | {} | {} | {} | {} | {} | {} |\n",
            self.label,
            cell(self.state_bytes),
            cell(self.messages_per_second),
            cell(self.bytes_per_second),
            cell(self.cpu_percent),
            self.verdict,
            self.mechanism,
        )
    }
}
