//! Why a command failed.

use std::path::PathBuf;

use cluster::SnapshotError;
use config::DocumentError;
use ids::Offset;
use ids::VmId;
use records::ReadError;
use thiserror::Error;

/// Why a command failed, and what to do.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// The process does not answer.
    #[error("{address} does not answer ({reason}): check --daemon, or ask another process")]
    Daemon { address: String, reason: String },
    /// The document can't be published.
    #[error("{}: {error}", file.display())]
    Document { error: DocumentError, file: PathBuf },
    /// The file can't be read.
    #[error("{} cannot be read ({error}): check its name and rights", file.display())]
    File {
        error: std::io::Error,
        file: PathBuf,
    },
    /// The version that a document replaces is not stated.
    #[error(
        "version {present} of the {what} is in force: if your file is based on it, add --base {present}; otherwise \
         print it with `skylarkctl show {what}` and make your change in it"
    )]
    NoBase { present: Offset, what: &'static str },
    /// The log has no beginning that makes sense.
    #[error("the log keeps records from offset {first} on, and no snapshot: check its retention")]
    NoSnapshot { first: Offset },
    /// No line is about the request.
    #[error(
        "none of {lines} lines is about request {request_id}: add the log of the process that answered it, and check \
         that `logging.requests` or `logging.sample_one_in` covers it"
    )]
    NotLogged { lines: usize, request_id: String },
    /// The log refused the record until time was up.
    #[error("nothing was written ({reason}): run the command again later")]
    NotWritten { reason: String },
    /// Another writer was first.
    #[error(
        "version {winner} of the {what} by {writer} is in force, and yours is based on {base}: \
         print it with `skylarkctl show {what}`, make your change in it, and publish with --base {winner}"
    )]
    Raced {
        base: Offset,
        what: &'static str,
        winner: Offset,
        writer: String,
    },
    /// The log can't be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The record has no effect.
    #[error("refused: {0}")]
    Refused(String),
    /// The snapshot in the log can't be used.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// The operator has not stated what must be checked.
    #[error(
        "declaring {vm} lost gives its units away. Two processes own them if it still runs. Check that its \
         process has ended and cannot come back (the VM is deleted, or stopped and fenced off), then run \
         `skylarkctl declare-lost {vm} --i-checked process-is-gone`"
    )]
    Unchecked { vm: VmId },
    /// The record may be in the log.
    #[error(
        "the record {id} may be in the log ({reason}): run the command again, which is harmless"
    )]
    Unknown { id: String, reason: String },
    /// The hash of a key may be in the log.
    #[error(
        "the key may have been published, and is dropped: run the command again, and when the log can be read \
         end the dropped key with `skylarkctl key withdraw --hash {hash}`"
    )]
    UnknownKey { hash: String },
    /// The command line is wrong.
    #[error("{0}: see skylarkctl --help")]
    Usage(String),
}

impl Failure {
    /// Returns the code that the process exits with.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Daemon { .. }
            | Self::NoSnapshot { .. }
            | Self::NotLogged { .. }
            | Self::NotWritten { .. }
            | Self::Raced { .. }
            | Self::Read(_)
            | Self::Refused(_)
            | Self::Snapshot(_) => 1,
            Self::Document { .. }
            | Self::File { .. }
            | Self::NoBase { .. }
            | Self::Unchecked { .. }
            | Self::Usage(_) => 2,
            Self::Unknown { .. } | Self::UnknownKey { .. } => 3,
        }
    }
}
