//! Path of one request through all processes.

use std::fmt::Display;
use std::fmt::Formatter;
use std::path::PathBuf;

use ids::RequestId;
use serde::Serialize;
use telemetry::DecisionDetails;
use telemetry::RequestDecision;

use crate::explain::cause::describe_cause;
use crate::explain::log_line::LogLine;
use crate::explain::process_problems::ProcessProblems;
use crate::failure::Failure;

/// Path of one request through all processes, in order of time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct RequestTrace {
    request_id: RequestId,
    cause: String,
    steps: Vec<TraceStep>,
}

/// One decision about the request, and the problems of the process that took it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct TraceStep {
    #[serde(flatten)]
    pub(crate) decision: RequestDecision,
    #[serde(rename = "amiss")]
    pub(crate) problems: Vec<String>,
}

impl RequestTrace {
    /// Reconstructs the path of a request from the log lines in `files`.
    pub(crate) fn read(request_id: &str, files: &[PathBuf]) -> Result<Self, Failure> {
        let mut lines = Vec::new();
        for file in files {
            let text = std::fs::read(file).map_err(|error| Failure::UnreadableFile {
                error,
                file: file.clone(),
            })?;
            let text = String::from_utf8_lossy(&text);
            lines.extend(text.lines().filter_map(LogLine::parse));
        }
        lines.sort_by_key(LogLine::time_unix_ms);
        let mut problems = ProcessProblems::default();
        let mut steps = Vec::new();
        for line in &lines {
            problems.record_line(line);
            if let LogLine::Request(decision) = line
                && decision.request_id == request_id
            {
                steps.push(TraceStep {
                    problems: problems.describe(&decision.vm, decision.time_unix_ms),
                    decision: RequestDecision::clone(decision),
                });
            }
        }
        if steps.is_empty() {
            return Err(Failure::NotLogged {
                lines: lines.len(),
                request_id: request_id.to_owned(),
            });
        }
        Ok(Self {
            cause: describe_cause(&steps),
            request_id: request_id.to_owned(),
            steps,
        })
    }
}

impl Display for RequestTrace {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "request {}", self.request_id)?;
        let first = self.steps[0].decision.time_unix_ms;
        for step in &self.steps {
            let decision = &step.decision;
            let after = decision.time_unix_ms - first;
            let name = step_name(decision);
            write!(
                f,
                "  +{after} ms {} {name}: {}",
                decision.vm, decision.reason
            )?;
            write_target(f, decision)?;
            writeln!(f)?;
            write_details(f, &decision.details)?;
            if let Some(view) = &decision.view {
                let declarations = view
                    .declarations_known_ms_ago
                    .map(|age| format!(", declarations known {age} ms ago"))
                    .unwrap_or_default();
                let informed = if view.informed { "" } else { ", not informed" };
                writeln!(
                    f,
                    "      believed: configuration {}, log up to {}, read {} ms ago{declarations}{informed}",
                    view.revision, view.log_next, view.log_read_ms_ago
                )?;
            }
            for problem in &step.problems {
                writeln!(f, "      amiss: {problem}")?;
            }
        }
        writeln!(f, "cause: {}", self.cause)
    }
}

/// Returns the name of the step in its log line.
fn step_name(decision: &RequestDecision) -> String {
    let name = serde_json::to_value(decision.step).unwrap_or_default();
    name.as_str().unwrap_or_default().to_owned()
}

fn write_target(f: &mut Formatter<'_>, decision: &RequestDecision) -> std::fmt::Result {
    if let Some(to) = &decision.to {
        write!(f, ", to {to}")?;
    }
    if let Some(unit) = &decision.unit {
        write!(f, ", {unit}")?;
    }
    if let Some(fence) = decision.fence {
        write!(f, " under fence {fence}")?;
    }
    Ok(())
}

fn write_details(f: &mut Formatter<'_>, details: &DecisionDetails) -> std::fmt::Result {
    let details = serde_json::to_value(details).unwrap_or_default();
    let Some(details) = details.as_object().filter(|details| !details.is_empty()) else {
        return Ok(());
    };
    let details = details
        .iter()
        .map(|(name, value)| format!("{name} {value}"));
    writeln!(f, "      {}", details.collect::<Vec<_>>().join(", "))
}
