//! The actions that an agent returned for one event of a trace.

use std::time::Duration;

use serde::Serialize;

use crate::Action;

/// The actions that an agent returned for one event of a trace.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReplayStep {
    /// The actions, in order.
    pub actions: Vec<Action>,
    /// Time of the event, since the start of the process.
    pub at: Duration,
}
