//! The content of a received datagram.

use membership::Event;
use wire::MemberLoads;

/// The content of a received datagram that passed authentication.
#[derive(Debug)]
pub(crate) enum IncomingDatagram {
    /// An event for the agent.
    Event(Event),
    /// Loads of members that the sender knows.
    Loads(MemberLoads),
}
