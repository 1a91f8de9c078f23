//! The entry: takes requests from callers and passes them to their homes.

mod acknowledgments;
mod call_home;
mod caller_request;
mod caller_service;
mod course;
mod credentials;
mod inquiry;
mod keyed;
mod keyless;
mod keyless_run;
mod keyless_service;
mod responses;
mod retry_after;
mod splits;
mod target;

pub(crate) use acknowledgments::Acknowledgments;
pub(crate) use call_home::CallHome;
pub(crate) use caller_service::CallerService;
pub(crate) use keyed::Keyed;
pub(crate) use keyless::Keyless;
pub(crate) use splits::Splits;
