//! A recorded trace of the events of an agent.

use crate::Agent;
use crate::AgentSettings;
use crate::ReplayStep;
use crate::TraceError;
use crate::TraceLine;

/// A recorded trace of one agent. In text form, the first line holds the settings, and each further
/// line holds one event.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Events in the order in which they were handled.
    pub lines: Vec<TraceLine>,
    /// Settings of the agent.
    pub settings: AgentSettings,
}

impl Trace {
    /// Parses the text form of a trace.
    ///
    /// # Errors
    ///
    /// Returns an error that names the line if the text is empty or a line cannot be parsed.
    pub fn parse(text: &str) -> Result<Self, TraceError> {
        let mut lines = text.lines();
        let header = lines.next().ok_or(TraceError::Empty)?;
        let settings = serde_json::from_str(header);
        let settings = settings.map_err(|cause| TraceError::Line { cause, line: 1 })?;
        let parsed: Result<Vec<TraceLine>, TraceError> = (2..)
            .zip(lines)
            .map(|(line, text)| {
                TraceLine::from_json(text).map_err(|cause| TraceError::Line { cause, line })
            })
            .collect();
        Ok(Self {
            lines: parsed?,
            settings,
        })
    }

    /// Passes the events to a new agent, and returns the actions that it returned for each.
    pub fn replay(&self) -> Vec<ReplayStep> {
        let mut agent = Agent::new(self.settings.clone());
        let lines = self.lines.iter().cloned();
        lines
            .map(|TraceLine { at, event }| ReplayStep {
                actions: agent.handle(at, event),
                at,
            })
            .collect()
    }
}
