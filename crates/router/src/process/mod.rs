//! Start-up, shutdown and settings reload of the process.

mod control_thread;
mod listeners;
mod process_parts;
mod run;
mod settings_reloader;

pub use run::run;
pub use run::run_in;
