//! Errors of commands.

use std::path::PathBuf;

use cluster::SnapshotError;
use config::DocumentError;
use ids::Offset;
use ids::VmId;
use records::ReadError;
use thiserror::Error;

/// Reason why a command failed, with its remedy.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// Another writer replaced the document first.
    #[error(
        "version {winner} of the {document} by {writer} is in force, and yours is based on {base}: \
         print it with `skylarkctl show {document}`, make your change in it, and publish with --base {winner}"
    )]
    Conflict {
        base: Offset,
        document: &'static str,
        winner: Offset,
        writer: String,
    },
    /// The process does not answer.
    #[error("{address} does not answer ({reason}): check --daemon, or ask another process")]
    DaemonUnreachable { address: String, reason: String },
    /// The document is invalid.
    #[error("{}: {error}", file.display())]
    InvalidDocument { error: DocumentError, file: PathBuf },
    /// The hash of a new key may be in the log.
    #[error(
        "the hash of the new key may have been published, but the key was discarded: run the command again, and once \
         the log can be read withdraw the discarded key with `skylarkctl key withdraw --hash {hash}`"
    )]
    KeyOutcomeUnknown { hash: String },
    /// The version that the document replaces was not given.
    #[error(
        "version {current} of the {document} is in force: if your file is based on it, add --base {current}; otherwise \
         print it with `skylarkctl show {document}` and make your change in it"
    )]
    MissingBase {
        current: Offset,
        document: &'static str,
    },
    /// The log has been truncated, and holds no snapshot to start from.
    #[error("the log keeps records from offset {first} on, and no snapshot: check its retention")]
    NoSnapshot { first: Offset },
    /// No log line is about the request.
    #[error(
        "none of {lines} lines is about request {request_id}: add the log of the process that answered it, and check \
         that `logging.requests` or `logging.sample_one_in` covers it"
    )]
    NotLogged { lines: usize, request_id: String },
    /// The log refused the record until the timeout.
    #[error("nothing was written ({reason}): run the command again later")]
    NotWritten { reason: String },
    /// The record may be in the log.
    #[error(
        "the record {id} may be in the log ({reason}): run the command again, which is harmless"
    )]
    OutcomeUnknown { id: String, reason: String },
    /// The log cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The record would have or had no effect, or a process refused a query.
    #[error("refused: {0}")]
    Refused(String),
    /// The snapshot in the log cannot be used.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// The log will never accept the record.
    #[error("the log does not accept the record ({reason}): publish a smaller document")]
    Unacceptable { reason: String },
    /// The operator has not confirmed that the process has ended.
    #[error(
        "declaring {vm} lost gives its units away. Two processes own them if it still runs. Check that its \
         process has ended and cannot come back (the VM is deleted, or stopped and fenced off), then run \
         `skylarkctl declare-lost {vm} --i-checked process-is-gone`"
    )]
    Unconfirmed { vm: VmId },
    /// The file cannot be read.
    #[error("{} cannot be read ({error}): check its name and permissions", file.display())]
    UnreadableFile {
        error: std::io::Error,
        file: PathBuf,
    },
    /// The command line is wrong.
    #[error("{0}: see skylarkctl --help")]
    Usage(String),
}

impl Failure {
    /// Returns the code that the process exits with.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Conflict { .. }
            | Self::DaemonUnreachable { .. }
            | Self::NoSnapshot { .. }
            | Self::NotLogged { .. }
            | Self::NotWritten { .. }
            | Self::Read(_)
            | Self::Refused(_)
            | Self::Snapshot(_)
            | Self::Unacceptable { .. } => 1,
            Self::InvalidDocument { .. }
            | Self::MissingBase { .. }
            | Self::Unconfirmed { .. }
            | Self::UnreadableFile { .. }
            | Self::Usage(_) => 2,
            Self::KeyOutcomeUnknown { .. } | Self::OutcomeUnknown { .. } => 3,
        }
    }
}
