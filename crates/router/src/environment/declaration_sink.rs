//! Where declarations of operators go.

use std::sync::Arc;

use membership::Declared;
use membership::Event;
use telemetry::Dependency;

use crate::control::ControlSender;
use crate::shared::Shared;

/// Takes what operators declare.
#[derive(Clone, Debug)]
pub struct DeclarationSink {
    control: ControlSender,
    shared: Arc<Shared>,
}

impl DeclarationSink {
    pub(crate) fn new(control: ControlSender, shared: Arc<Shared>) -> Self {
        Self { control, shared }
    }

    /// Passes on all that operators declare at present.
    pub fn declare(&self, declared: Declared) {
        self.control.send_event(Event::Declared(declared));
    }

    /// Takes in that what operators declare can be read.
    pub fn report_readable(&self) {
        self.shared.regained(Dependency::Operators, "");
    }

    /// Takes in that what operators declare cannot be read.
    pub fn report_unreadable(&self, problem: &str) {
        self.shared.lost(Dependency::Operators, "", problem);
    }
}
