//! Receiver of operator declarations.

use std::sync::Arc;
use std::time::Duration;

use ids::Offset;
use membership::Event;
use membership::OperatorDeclarations;
use telemetry::Dependency;

use crate::control::ControlSender;
use crate::shared::Shared;

/// Receives operator declarations and passes them to the control thread.
#[derive(Clone, Debug)]
pub struct DeclarationSink {
    control: ControlSender,
    shared: Arc<Shared>,
}

impl DeclarationSink {
    pub(crate) fn new(control: ControlSender, shared: Arc<Shared>) -> Self {
        Self { control, shared }
    }

    /// Passes on the complete current declarations of operators.
    pub fn declare(&self, declarations: OperatorDeclarations) {
        self.control.send_event(Event::Declared(declarations));
    }

    /// Records the problems of the newest operator declarations, none if they are valid. What could not be read of them
    /// has no effect.
    pub fn report_invalid(&self, problems: Vec<String>) {
        for problem in &problems {
            log::warn!("invalid operator declaration, correct and publish it again: {problem}");
        }
        self.shared.record_invalid_declarations(problems);
    }

    /// Records where the declarations ended when they were last checked, and how long the check took.
    pub fn report_end(&self, position: Offset, duration: Duration) {
        self.control
            .send_event(Event::DeclarationsChecked { duration, position });
    }

    /// Records that all operator declarations before `position` were read. Changes are passed on afterwards. `has_waited` tells
    /// whether the read waited for a change, so that its answer was sent because of one or because of none in time.
    pub fn report_read(&self, position: Offset, has_waited: bool, duration: Duration) {
        self.shared
            .record_dependency_answer(Dependency::Operators, "");
        self.control.send_event(Event::DeclarationsRead {
            duration,
            has_waited,
            position,
        });
    }

    /// Records that operator declarations cannot be read.
    pub fn report_unreadable(&self, problem: &str) {
        self.shared
            .record_dependency_failure(Dependency::Operators, "", problem);
    }
}
