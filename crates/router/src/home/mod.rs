//! The home, which runs the requests for the units of this process on the local upstream.

mod answer_reports;
mod crash_report;
mod execution;
mod granted_unit;
mod home_reports;
mod home_service;
mod home_state;
mod hot_keys;
mod loads;
mod local_upstream;
mod messages;
mod moving_mean;
mod permit;
mod queue_maintenance;
mod request_starter;
mod route_name;
mod unit_tracker;
mod upstream_capacity;
mod waiting_request;

pub(crate) use home_service::Home;
pub(crate) use loads::Loads;
pub(crate) use messages::clear_derived_fields;
pub(crate) use messages::decode_statement;
pub(crate) use messages::grant_of;
pub(crate) use route_name::host_route;
