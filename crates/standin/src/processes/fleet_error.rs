//! Errors of a fleet of processes.

use std::io;
use std::path::PathBuf;

use ids::VmId;
use thiserror::Error;

/// An error when a fleet of processes is started or controlled.
#[derive(Debug, Error)]
pub enum FleetError {
    /// An executable has not been built.
    #[error("`{0}` is missing: run `cargo build --workspace`, with `--release` for a release test")]
    MissingBinary(PathBuf),
    /// An operation on the system or a call to a process failed.
    #[error("cannot {0}: {1}")]
    System(&'static str, #[source] io::Error),
    /// The log stand-in did not start, or refused a record.
    #[error("the log stand-in did not start or refused a record: {0}")]
    Log(String),
    /// A condition did not hold within the time-out.
    #[error("{failure} within {seconds} s; the processes' output is in `{output}`")]
    TimedOut {
        /// Condition that did not hold, as the start of a sentence.
        failure: String,
        /// Time-out in seconds.
        seconds: u64,
        /// Directory with the output of the processes.
        output: PathBuf,
    },
    /// The fleet has no VM with this name.
    #[error("no VM is named `{0}`: `Fleet::vms` lists them")]
    UnknownVm(VmId),
}
