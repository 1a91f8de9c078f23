//! The router process that runs beside each upstream. It is the entry for callers, the home of the units that it owns,
//! and a witness of other members.

mod announce_service;
mod check_in_service;
mod clock;
mod control;
mod control_traffic;
pub mod duration_text;
mod entry;
mod environment;
mod handover;
mod home;
mod json_response;
mod lease;
mod limits;
mod links;
mod logging;
mod operator;
mod peer_client;
mod process;
mod quarantine;
mod record_store;
mod settings;
mod shared;
mod view;

pub use environment::DeclarationReads;
pub use environment::DeclarationSink;
pub use environment::Environment;
pub use environment::RangeGrant;
pub use environment::UpstreamCheckIn;
pub use environment::UpstreamGrants;
pub use environment::UpstreamMessage;
pub use process::run;
pub use process::run_in;
pub use settings::Addresses;
pub use settings::ChooserKind;
pub use settings::LimitKind;
pub use settings::Limits;
pub use settings::LogSettings;
pub use settings::LoggingSettings;
pub use settings::MetricsSettings;
pub use settings::PolicySettings;
pub use settings::QueueKind;
pub use settings::RateKind;
pub use settings::RateTolerance;
pub use settings::Settings;
pub use settings::SettingsError;
