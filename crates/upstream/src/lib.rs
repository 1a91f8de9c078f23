//! Client of the upstream on this VM: requests, grants, health, drain and cancellation.

mod announcement;
mod announcement_error;
mod answer;
mod cancellation;
mod client_settings;
mod connection;
mod control;
mod control_error;
mod dialect;
mod dispatch_error;
mod exchange;
mod flight;
mod grant;
mod grant_answer;
mod grant_message;
mod head;
mod health;
mod not_run;
mod order;
mod pool;
mod request;
mod upstream_client;

pub use announcement::Announcement;
pub use announcement_error::AnnouncementError;
pub use answer::Answer;
pub use client_settings::ClientSettings;
pub use control_error::ControlError;
pub use dialect::Dialect;
pub use dispatch_error::DispatchError;
pub use grant::Grant;
pub use grant_answer::GrantAnswer;
pub use grant_message::GrantMessage;
pub use health::Health;
pub use not_run::NotRun;
pub use request::Request;
pub use upstream_client::UpstreamClient;
