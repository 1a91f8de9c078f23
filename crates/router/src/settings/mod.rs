//! Settings of one process, read from a JSON file and checked as a whole.

mod addresses;
mod limits;
mod log_settings;
mod logging_settings;
mod metrics_settings;
mod policy_settings;
mod range;
mod rate_tolerance;
mod rollout_settings;
mod settings_error;
mod settings_file;

pub use addresses::Addresses;
pub use limits::Limits;
pub use log_settings::LogSettings;
pub use logging_settings::LoggingSettings;
pub use metrics_settings::MetricsSettings;
pub use policy_settings::ChooserKind;
pub use policy_settings::LimitKind;
pub use policy_settings::PolicySettings;
pub use policy_settings::QueueKind;
pub use policy_settings::RateKind;
pub use rate_tolerance::RateTolerance;
pub use rollout_settings::RolloutSettings;
pub use settings_error::SettingsError;
pub use settings_file::Settings;
