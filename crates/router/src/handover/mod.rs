//! State that is handed over with a unit from one owner to the next.

mod handover_state;
mod incoming_handovers;
mod stored_answer;

pub(crate) use handover_state::HandoverContents;
pub(crate) use handover_state::HandoverState;
pub(crate) use incoming_handovers::IncomingHandovers;
pub(crate) use stored_answer::StoredAnswer;
