//! Parsed commands.

use std::path::PathBuf;

use config::KeyHash;
use ids::Offset;
use ids::RequestId;
use ids::ServiceId;
use ids::VmId;
use ids::WorkspaceId;
use ids::ZoneId;

/// A parsed command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Command {
    /// Reconstructs the path of a request from log files.
    Explain {
        request_id: RequestId,
        files: Vec<PathBuf>,
    },
    /// Prints the help text.
    Help,
    /// Reads the log, and may append to it.
    Log(LogCommand),
    /// Queries the operator interface of a process.
    Query(Query),
    /// Prints the version of this program.
    Version,
}

/// A query to the operator interface of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Query {
    Explain { request_id: RequestId },
    Owner { service: ServiceId, key: String },
    Rollouts,
    Status,
}

/// A command that reads the log, and may append to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum LogCommand {
    ClearQuarantine {
        fingerprint: String,
    },
    DeclareLost {
        vm: VmId,
    },
    IssueKey {
        workspace: WorkspaceId,
    },
    ListQuarantine,
    Publish {
        kind: DocumentKind,
        file: PathBuf,
        base: Option<Offset>,
    },
    SetUpstream {
        vm: VmId,
        drained: bool,
    },
    SetZone {
        zone: ZoneId,
        out: bool,
    },
    Show {
        kind: DocumentKind,
    },
    WithdrawKey {
        hash: KeyHash,
    },
}

/// Kind of a published document.
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
