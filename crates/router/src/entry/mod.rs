//! The entry: accepts requests from callers and sends them to their homes.

mod acknowledgments;
mod caller_request;
mod caller_service;
mod credentials;
mod home_client;
mod keyed_router;
mod keyless_request;
mod keyless_router;
mod keyless_service;
mod outcome_query;
mod request_cancellation;
mod request_tracker;
mod responses;
mod retry_after;
mod target;
mod traffic_splits;
mod trial_credits;
mod version_split;

pub(crate) use acknowledgments::Acknowledgments;
pub(crate) use caller_service::CallerService;
pub(crate) use home_client::HomeClient;
pub(crate) use keyed_router::KeyedRouter;
pub(crate) use keyless_router::KeylessRouter;
pub(crate) use traffic_splits::TrafficSplits;
pub(crate) use trial_credits::TrialCredits;
