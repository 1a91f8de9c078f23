//! The operator command as a library.

mod command;
mod confirmed_append;
mod daemon;
mod explain;
mod failure;
mod folded_log;
mod help;
mod keys;
mod options;
mod output;
mod publication;
mod quarantine;
mod report;
mod run;
mod status_text;
mod switches;

pub use output::Output;
pub use run::run;
