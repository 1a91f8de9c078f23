//! The content of a received datagram.

use membership::Event;
use wire::MemberLoads;
use wire::RolloutPermit;
use wire::RolloutReport;

/// The content of a received datagram that passed authentication.
#[derive(Debug)]
pub(crate) enum IncomingDatagram {
    /// An event for the agent.
    Event(Event),
    /// Loads of members that the sender knows.
    Loads(MemberLoads),
    /// Permit of a decider of a roll-out.
    Permit(RolloutPermit),
    /// Evidence of a home on a version.
    Report(RolloutReport),
}
