//! The part of one process in membership and ownership, free of input and output.
//!
//! [`Agent`] is told [`Event`]s with the time, and asks for [`Action`]s. Nothing here sleeps, reads a
//! clock or sends, so a recorded [`Trace`] replays to the same actions.
//!
//! # Sole ownership
//!
//! A request runs on a unit only while the lease of its home holds and the upstream holds a grant.
//!
//! - The lease ends 2 s after the sending of the newest heartbeats that enough witnesses answered with
//!   a renewal. A witness that hears nothing for 2 s stops renewing for good, and then states so in
//!   the log. The fold of the log declares the member lost once enough witnesses did, and states how
//!   long the next owner waits.
//! - A grant expires, in the clock of the upstream, no later than the lease. The clock is sampled, and
//!   the sample counts from its arrival, so a pause of the home can only shorten the grant.
//! - An owner that hands a unit over lets its requests end, has the grant revoked, and appends the
//!   `Move` last. An upstream that does not answer counts as revoked once its grants have expired.
//! - The log ends the lease of a member with former and new witnesses only by majorities of both.
//!   Before the member releases the former ones it counts their renewals no more, and no grant that
//!   rests on them outlasts the lease that the new ones renew.
//!
//! # What the process sees to
//!
//! - The time of an event is read after the event arrived, and actions are carried out in their order.
//! - Heartbeats that have arrived are handled before a [`Event::Tick`]. Ticks come at least every
//!   250 ms. After a longer gap the agent takes its process for paused, and counts the silence of
//!   others anew.
//! - A request is dispatched only if its unit is in [`Agent::serving`] and the time is strictly before
//!   [`Agent::lease_until`], both checked immediately before. [`Agent::run_until`] bounds requests on
//!   an upstream that checks no grants.
//! - Nothing is dispatched unless [`Agent::is_informed`]. Pulls are answered only while
//!   [`Agent::can_answer_pulls`].
//!
//! # Assumptions
//!
//! Monotonic clocks go on while a process is stopped, and two clocks differ in speed by at most 1.2%.
//! A later process of the same VM starts only when the earlier one has ended. A member that has no
//! witness, because it is alone in its region, holds its lease and counts as informed.

mod absent;
mod action;
mod active;
mod agent;
mod agent_check_in;
mod agent_life;
mod agent_log;
mod agent_moves;
mod agent_operators;
mod agent_settings;
mod agent_witness;
mod announcement;
mod appends;
mod check_in;
mod check_in_answer;
mod clock_sample;
mod decision;
mod declared;
mod desired_grants;
mod destination;
mod electorate;
mod event;
mod grant;
mod grant_answer;
mod heartbeat;
mod heartbeat_answer;
mod in_flight_grant;
mod joining;
mod last_report;
mod lease;
mod leave_reason;
mod leaving;
mod life;
mod log_reader;
mod monitored_member;
mod move_reason;
mod owned_unit;
mod owned_units;
mod phase;
mod replay_step;
mod schedule;
mod status;
mod suspected_member;
mod times;
mod trace;
mod trace_error;
mod trace_line;
mod unit_state;
mod upstream;
mod upstream_health;
mod upstream_polled;
mod watched_member;
mod watched_members;
mod witness_link;
mod witnesses;

pub use action::Action;
pub use agent::Agent;
pub use agent_settings::AgentSettings;
pub use announcement::Announcement;
pub use check_in::CheckIn;
pub use check_in_answer::CheckInAnswer;
pub use decision::Decision;
pub use declared::Declared;
pub use event::Event;
pub use grant::Grant;
pub use grant_answer::GrantAnswer;
pub use heartbeat::Heartbeat;
pub use heartbeat_answer::HeartbeatAnswer;
pub use leave_reason::LeaveReason;
pub use move_reason::MoveReason;
pub use phase::Phase;
pub use replay_step::ReplayStep;
pub use status::Status;
pub use times::SUSPECT_AFTER;
pub use trace::Trace;
pub use trace_error::TraceError;
pub use trace_line::TraceLine;

pub(crate) use absent::Absent;
pub(crate) use active::Active;
pub(crate) use appends::Appends;
pub(crate) use clock_sample::ClockSample;
pub(crate) use desired_grants::DesiredGrants;
pub(crate) use destination::Destination;
pub(crate) use electorate::Electorate;
pub(crate) use in_flight_grant::InFlightGrant;
pub(crate) use joining::Joining;
pub(crate) use last_report::LastReport;
pub(crate) use lease::Lease;
pub(crate) use leaving::Leaving;
pub(crate) use life::Life;
pub(crate) use log_reader::LogReader;
pub(crate) use monitored_member::MonitoredMember;
pub(crate) use owned_units::OwnedUnits;
pub(crate) use schedule::Schedule;
pub(crate) use suspected_member::SuspectedMember;
pub(crate) use unit_state::UnitState;
pub(crate) use upstream::Upstream;
pub(crate) use upstream_health::UpstreamHealth;
pub(crate) use watched_member::WatchedMember;
pub(crate) use watched_members::WatchedMembers;
pub(crate) use witness_link::WitnessLink;
pub(crate) use witnesses::Witnesses;
