//! The process as a whole.

mod control_thread;
mod listeners;
mod parts;
mod reload;
mod run;

pub use run::run;
pub use run::run_in;
