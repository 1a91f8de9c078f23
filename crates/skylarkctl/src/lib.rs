//! Implementation of the operator command.

mod command;
mod confirmed_append;
mod daemon_client;
mod documents;
mod explain;
mod failure;
mod folded_log;
mod help;
mod keys;
mod options;
mod output;
mod quarantine;
mod report;
mod rollouts_text;
mod run;
mod service_state;
mod status_text;

pub use output::Output;
pub use run::run;
