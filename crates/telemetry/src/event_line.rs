//! Log lines of process events.

use ids::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::ProcessEvent;

/// Log line of a process event.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EventLine {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub time_unix_ms: u64,
    /// VM of the process.
    pub vm: VmId,
    /// The event.
    #[serde(flatten)]
    pub event: ProcessEvent,
}

impl EventLine {
    /// Returns the line as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("text and numbers can be written as JSON")
    }
}
