//! Error of parsing a trace.

use thiserror::Error;

/// Error of parsing a trace.
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
