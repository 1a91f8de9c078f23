//! What the operator asks for.

use std::path::PathBuf;

use config::KeyHash;
use ids::Offset;
use ids::RequestId;
use ids::ServiceId;
use ids::VmId;
use ids::WorkspaceId;
use ids::ZoneId;

/// What the operator asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Command {
    /// Asks a process.
    Ask(Question),
    /// Tells from log files what became of a request.
    Explain {
        request_id: RequestId,
        files: Vec<PathBuf>,
    },
    /// Prints the help text.
    Help,
    /// Reads the log, and may write to it.
    UseLog(LogCommand),
    /// Prints the version of this program.
    Version,
}

/// What a process is asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Question {
    Explain { request_id: RequestId },
    Owner { service: ServiceId, key: String },
    Status,
}

/// A command that reads the log, and may write to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum LogCommand {
    DeclareLost {
        vm: VmId,
    },
    IssueKey {
        workspace: WorkspaceId,
    },
    Publish {
        kind: DocumentKind,
        file: PathBuf,
        base: Option<Offset>,
    },
    QuarantineClear {
        fingerprint: String,
    },
    QuarantineList,
    Show {
        kind: DocumentKind,
    },
    Upstream {
        vm: VmId,
        drained: bool,
    },
    WithdrawKey {
        hash: KeyHash,
    },
    Zone {
        zone: ZoneId,
        out: bool,
    },
}

/// Which document is meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DocumentKind {
    Plans,
    Workspaces,
}

impl DocumentKind {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Plans => "plans",
            Self::Workspaces => "workspaces",
        }
    }
}
