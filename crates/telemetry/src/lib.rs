//! Telemetry of a process: decisions and events as log lines, and metrics.

mod decision_details;
mod decision_log;
mod dependency;
mod dependency_tracker;
mod event_line;
mod line_writer;
mod metrics;
mod process_event;
mod request_decision;
mod request_log_filter;
mod step;
mod view_summary;

pub use decision_details::DecisionDetails;
pub use decision_log::DecisionLog;
pub use dependency::Dependency;
pub use dependency_tracker::DependencyTracker;
pub use event_line::EventLine;
pub use line_writer::LineWriter;
pub use metrics::Metrics;
pub use process_event::ProcessEvent;
pub use request_decision::RequestDecision;
pub use request_log_filter::RequestLogFilter;
pub use step::Step;
pub use view_summary::ViewSummary;

/// Target of log records whose message is a complete JSON object.
pub const JSON_LINE_TARGET: &str = "line";
