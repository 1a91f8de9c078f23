//! What a datagram says.

use membership::Event;
use wire::MemberLoads;

/// What an authentic datagram says.
#[derive(Debug)]
pub(crate) enum Heard {
    /// An event for the agent.
    Event(Event),
    /// Loads of members, as the sender knows them.
    Loads(MemberLoads),
}
