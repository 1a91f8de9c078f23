//! Expected cost of a request.

use std::time::Duration;

/// Expected cost of a request: its time on an idle upstream of speed 1.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cost {
    /// Mean, never zero.
    pub mean: Duration,
    /// Mean absolute deviation.
    pub spread: Duration,
}
