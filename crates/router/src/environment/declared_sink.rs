//! Where declarations of operators go.

use membership::Declared;
use membership::Event;

use crate::control::ControlSender;

/// Takes what operators declare.
#[derive(Clone, Debug)]
pub struct DeclaredSink {
    control: ControlSender,
}

impl DeclaredSink {
    pub(crate) fn new(control: ControlSender) -> Self {
        Self { control }
    }

    /// Passes on all that operators declare at present.
    pub fn declare(&self, declared: Declared) {
        self.control.event(Event::Declared(declared));
    }
}
