//! One line of a recorded trace.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Event;

/// One line of a recorded trace: an event and its time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TraceLine {
    /// Time at which the event was handled, since the start of the process.
    pub at: Duration,
    /// The event.
    pub event: Event,
}

impl TraceLine {
    /// Returns the line as JSON, without a trailing newline.
    ///
    /// # Errors
    ///
    /// Returns an error when the event holds a load that JSON cannot represent.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(self)
    }

    /// Parses a line that [`TraceLine::to_json`] wrote.
    ///
    /// # Errors
    ///
    /// Returns an error when the line cannot be parsed as an event with its time.
    pub fn from_json(line: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(line)
    }
}
