//! Where declarations of operators go.

use std::sync::Arc;

use membership::Event;
use membership::OperatorDeclarations;
use telemetry::Dependency;

use crate::control::ControlSender;
use crate::shared::Shared;

/// Takes what operators declare.
#[derive(Clone, Debug)]
pub struct DeclaredSink {
    control: ControlSender,
    shared: Arc<Shared>,
}

impl DeclaredSink {
    pub(crate) fn new(control: ControlSender, shared: Arc<Shared>) -> Self {
        Self { control, shared }
    }

    /// Passes on all that operators declare at present.
    pub fn declare(&self, declared: OperatorDeclarations) {
        self.control.event(Event::Declared(declared));
    }

    /// Takes in that what operators declare can be read.
    pub fn readable(&self) {
        self.shared
            .record_dependency_answer(Dependency::Operators, "");
    }

    /// Takes in that what operators declare cannot be read.
    pub fn unreadable(&self, problem: &str) {
        self.shared
            .record_dependency_failure(Dependency::Operators, "", problem);
    }
}
