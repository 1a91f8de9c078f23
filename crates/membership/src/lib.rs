//! Membership and unit ownership of one process, as a state machine without input and output.
//!
//! [`Agent`] is passed [`Event`]s with the current time, and returns [`Action`]s. It never sleeps,
//! reads a clock or sends a message, so a recorded [`Trace`] replays to the same actions.
//!
//! # Exclusive ownership
//!
//! A request runs on a unit only while the lease of the unit's home holds and the upstream holds a
//! grant for the unit.
//!
//! - The lease ends 2 s after the member sent the newest heartbeats that enough witnesses answered
//!   with a renewal. A witness that receives no heartbeat for 2 s stops renewing for good, and then
//!   records this in the log. The fold of the log declares the member lost once enough witnesses
//!   have done so, and states how long the next owner waits.
//! - A grant expires, by the clock of the upstream, no later than the lease. The upstream's clock is
//!   sampled, and a sample counts from the time at which it arrived, so a pause of the home can only
//!   shorten the grant.
//! - An owner that hands a unit over lets the unit's requests end, has the grant revoked, and appends
//!   the `Move` last. If the upstream does not answer, its grants count as revoked once they have
//!   expired.
//! - While a member has both former and new witnesses, the log ends its lease only by majorities of
//!   both. Before the member releases the former witnesses, it stops counting their renewals, and no
//!   grant that depends on those renewals outlasts the lease that the new witnesses renew.
//!
//! # Requirements on the process
//!
//! - The time of an event is read after the event arrived, and actions are carried out in order.
//! - Heartbeats that have arrived are handled before an [`Event::Tick`]. Ticks come at least every
//!   250 ms. After a longer gap, of more than 500 ms, the agent assumes that its process was paused,
//!   and restarts the silence time-outs of other members.
//! - A request is dispatched only if its unit is in [`Agent::serving_units`] and the time is strictly
//!   before [`Agent::lease_until`], both checked immediately before the dispatch.
//!   [`Agent::request_deadline`] bounds requests on an upstream that does not check grants.
//! - Nothing is dispatched from [`Agent::starts_until`] on, which is checked immediately before the dispatch.
//! - Nothing is dispatched unless [`Agent::is_informed`]. Pulls are answered only while
//!   [`Agent::can_answer_pulls`].
//!
//! # Assumptions
//!
//! Monotonic clocks keep running while a process is stopped, and the speeds of two clocks differ by
//! at most 1.2%. A later process on the same VM starts only after the earlier one has ended. A member
//! that has no witness, because it is alone in its region, holds its lease and counts as informed.

mod absent;
mod action;
mod active;
mod agent;
mod agent_check_in;
mod agent_declarations;
mod agent_evacuation;
mod agent_lifecycle;
mod agent_log;
mod agent_moves;
mod agent_rejections;
mod agent_report;
mod agent_restore;
mod agent_rollouts;
mod agent_settings;
mod agent_witness;
mod announcement;
mod check_in;
mod check_in_answer;
mod check_in_rejection;
mod clock_sample;
mod decision;
mod declaration_freshness;
mod desired_grants;
mod destination;
mod event;
mod grant;
mod grant_answer;
mod heartbeat;
mod heartbeat_answer;
mod in_flight_grant;
mod joining;
mod known_declarations;
mod last_report;
mod lease;
mod leave_reason;
mod leaving;
mod log_state;
mod member_state;
mod monitored_member;
mod move_reason;
mod operator_declarations;
mod overdue_reads;
mod owned_unit;
mod owned_units;
mod pending_appends;
mod phase;
mod read_pacing;
mod read_times;
mod rejected_declarations;
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
mod upstream_process;
mod watched_member;
mod watched_members;
mod witness_link;
mod witness_quorum;
mod witnesses;

pub use action::Action;
pub use agent::Agent;
pub use agent_settings::AgentSettings;
pub use announcement::Announcement;
pub use check_in::CheckIn;
pub use check_in_answer::CheckInAnswer;
pub use check_in_rejection::CheckInRejection;
pub use decision::Decision;
pub use event::Event;
pub use grant::Grant;
pub use grant_answer::GrantAnswer;
pub use heartbeat::Heartbeat;
pub use heartbeat_answer::HeartbeatAnswer;
pub use known_declarations::KnownDeclarations;
pub use leave_reason::LeaveReason;
pub use move_reason::MoveReason;
pub use operator_declarations::OperatorDeclarations;
pub use phase::Phase;
pub use read_pacing::ReadPacing;
pub use replay_step::ReplayStep;
pub use status::Status;
pub use times::SUSPECT_AFTER;
pub use trace::Trace;
pub use trace_error::TraceError;
pub use trace_line::TraceLine;
pub use upstream_process::UpstreamProcess;

pub(crate) use absent::Absent;
pub(crate) use active::Active;
pub(crate) use clock_sample::ClockSample;
pub(crate) use declaration_freshness::DeclarationFreshness;
pub(crate) use declaration_freshness::FreshnessStep;
pub(crate) use desired_grants::DesiredGrants;
pub(crate) use destination::Destination;
pub(crate) use in_flight_grant::InFlightGrant;
pub(crate) use joining::Joining;
pub(crate) use last_report::LastReport;
pub(crate) use lease::Lease;
pub(crate) use leaving::Leaving;
pub(crate) use log_state::LogState;
pub(crate) use member_state::MemberState;
pub(crate) use monitored_member::MonitoredMember;
pub(crate) use overdue_reads::OverdueReads;
pub(crate) use owned_units::OwnedUnits;
pub(crate) use pending_appends::PendingAppends;
pub(crate) use read_times::ReadTimes;
pub(crate) use rejected_declarations::RejectedDeclarations;
pub(crate) use schedule::Schedule;
pub(crate) use suspected_member::SuspectedMember;
pub(crate) use unit_state::UnitState;
pub(crate) use upstream::Upstream;
pub(crate) use upstream_health::UpstreamHealth;
pub(crate) use watched_member::WatchedMember;
pub(crate) use watched_members::WatchedMembers;
pub(crate) use witness_link::WitnessLink;
pub(crate) use witness_quorum::WitnessQuorum;
pub(crate) use witnesses::Witnesses;
