//! Parsed log lines.

use ids::VmId;
use serde::Deserialize;
use telemetry::EventLine;
use telemetry::RequestDecision;

/// A log line about a request or a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub(crate) enum LogLine {
    /// A decision about a request.
    Request(Box<RequestDecision>),
    /// An event of a process.
    Event(EventLine),
    /// A decision about membership.
    Membership(MembershipLine),
}

/// A decision about membership.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct MembershipLine {
    pub(crate) time_unix_ms: u64,
    pub(crate) vm: VmId,
    pub(crate) decision: String,
}

impl LogLine {
    /// Parses a line. Text before its JSON, such as a timestamp that a log collector adds, is ignored.
    pub(crate) fn parse(line: &str) -> Option<Self> {
        let start = line.find('{')?;
        serde_json::from_str(&line[start..]).ok()
    }

    pub(crate) fn time_unix_ms(&self) -> u64 {
        match self {
            Self::Event(line) => line.time_unix_ms,
            Self::Membership(line) => line.time_unix_ms,
            Self::Request(decision) => decision.time_unix_ms,
        }
    }
}
