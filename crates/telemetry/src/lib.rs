//! What a process tells about itself: decisions and events as log lines, and metrics.

mod belief;
mod decision_log;
mod dependencies;
mod dependency;
mod detail;
mod event_line;
mod facts;
mod line_writer;
mod metrics;
mod process_event;
mod request_decision;
mod step;

pub use belief::Belief;
pub use decision_log::DecisionLog;
pub use dependencies::Dependencies;
pub use dependency::Dependency;
pub use detail::Detail;
pub use event_line::EventLine;
pub use facts::Facts;
pub use line_writer::LineWriter;
pub use metrics::Metrics;
pub use process_event::ProcessEvent;
pub use request_decision::RequestDecision;
pub use step::Step;

/// Target of log lines that are JSON objects already.
pub const LINE_TARGET: &str = "line";
