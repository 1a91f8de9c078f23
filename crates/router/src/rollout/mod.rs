//! Roll-outs of versions of upstreams: evidence, permits, decisions, and the status for operators.

mod decided_rollout;
mod home_evidence;
mod known_permits;
mod member_report;
mod permit_state;
mod rollout_control;
mod rollout_status;
mod rollouts;
mod service_rollout;
mod status_document;
mod status_job;
mod status_turns;
mod status_writer;
mod step_appends;
mod trial_credit;

pub(crate) use home_evidence::HomeEvidence;
pub(crate) use home_evidence::Observation;
pub(crate) use rollout_control::RolloutActions;
pub(crate) use rollout_control::RolloutControl;
pub(crate) use rollout_control::RolloutParts;
pub(crate) use rollout_status::RolloutStatus;
pub(crate) use rollouts::Rollouts;
pub(crate) use service_rollout::ServiceRollout;
pub(crate) use service_rollout::VersionUse;
pub(crate) use status_job::StatusJob;
pub(crate) use status_writer::StatusWriter;
pub(crate) use trial_credit::TrialCredit;
