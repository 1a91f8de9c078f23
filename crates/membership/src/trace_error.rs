//! Why a trace cannot be read.

use thiserror::Error;

/// Why a trace cannot be read.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The trace has no first line.
    #[error("the trace is empty: its first line holds the settings of the agent")]
    Empty,
    /// A line cannot be parsed.
    #[error("line {line} of the trace has an unknown form: {cause}: record the trace again")]
    Line {
        /// The error of the JSON parser.
        cause: serde_json::Error,
        /// Number of the line, from 1.
        line: usize,
    },
}
