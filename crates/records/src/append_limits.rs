//! Limits of appends.

/// Limits that the log service sets to appends, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AppendLimits {
    /// Maximum total size of the records of one call.
    pub call_bytes: usize,
    /// Maximum size of a record. Longer ones are written in parts.
    pub record_bytes: usize,
}

impl Default for AppendLimits {
    fn default() -> Self {
        Self {
            call_bytes: 2 << 20,
            record_bytes: 256 << 10,
        }
    }
}
