//! Unit of ownership.

use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ServiceId;
use crate::WorkspaceId;

/// Part of the keys of a service, or of a rate limit, that at most one member owns at a time.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Unit {
    /// Part of a workspace's rate limit.
    Bucket {
        /// Workspace whose rate is limited.
        workspace: WorkspaceId,
        /// Index of the part.
        index: u32,
    },
    /// A single hot key, owned apart from its shard.
    Pinned {
        /// Service that the key belongs to.
        service: ServiceId,
        /// The key.
        key: String,
    },
    /// All keys of a service that hash to one index.
    Shard {
        /// Service that the keys belong to.
        service: ServiceId,
        /// Index of the shard.
        index: u32,
    },
}

/// Text that is not the name of a unit.
#[derive(Debug, Error, Eq, PartialEq)]
#[error(
    "`{0}` is not a unit: write `bucket:WORKSPACE:INDEX`, `pin:SERVICE:KEY` or `shard:SERVICE:INDEX`"
)]
pub struct ParseUnitError(String);

impl Display for Unit {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Bucket { workspace, index } => write!(f, "bucket:{workspace}:{index}"),
            Self::Pinned { service, key } => write!(f, "pin:{service}:{key}"),
            Self::Shard { service, index } => write!(f, "shard:{service}:{index}"),
        }
    }
}

impl FromStr for Unit {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, ParseUnitError> {
        let error = || ParseUnitError(text.to_owned());
        let mut parts = text.splitn(3, ':');
        let kind = parts.next().ok_or_else(error)?;
        let name = parts.next().ok_or_else(error)?.to_owned();
        let rest = parts.next().ok_or_else(error)?;
        match kind {
            "bucket" => Ok(Self::Bucket {
                workspace: name,
                index: rest.parse().map_err(|_| error())?,
            }),
            "pin" => Ok(Self::Pinned {
                service: name,
                key: rest.to_owned(),
            }),
            "shard" => Ok(Self::Shard {
                service: name,
                index: rest.parse().map_err(|_| error())?,
            }),
            _ => Err(error()),
        }
    }
}

impl From<Unit> for String {
    fn from(unit: Unit) -> Self {
        unit.to_string()
    }
}

impl TryFrom<String> for Unit {
    type Error = ParseUnitError;

    fn try_from(text: String) -> Result<Self, ParseUnitError> {
        text.parse()
    }
}
