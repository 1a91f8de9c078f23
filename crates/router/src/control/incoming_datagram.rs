//! The content of a received datagram.

use membership::Event;
use wire::Loads;

/// The content of a received datagram that passed authentication.
#[derive(Debug)]
pub(crate) enum IncomingDatagram {
    /// An event for the agent.
    Event(Event),
    /// Loads of members that the sender knows.
    Loads(Loads),
}
