//! One row of the capacity table.

use crate::pages::measures::format_number;

/// What one role, or one bad moment, costs a node.
#[derive(Clone, Debug)]
pub(crate) struct CapacityRow {
    pub(crate) label: &'static str,
    /// State that is held, in bytes.
    pub(crate) state_bytes: Option<f64>,
    /// Messages and records, each second.
    pub(crate) messages_per_second: Option<f64>,
    /// Bytes, each second.
    pub(crate) bytes_per_second: Option<f64>,
    /// Processor time, in percent of a core.
    pub(crate) cpu_percent: Option<f64>,
    /// Whether it fits, and why not.
    pub(crate) verdict: String,
    /// What carries it.
    pub(crate) mechanism: &'static str,
}

impl CapacityRow {
    /// Returns the row as a line of a table.
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
