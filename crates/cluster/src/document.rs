//! A published document.

use config::Manifest;
use config::Plans;
use config::Workspaces;
use serde::Deserialize;
use serde::Serialize;

/// Document that operators publish as a whole.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Document {
    /// Complete configuration, which replaces everything that was published before.
    Manifest(Box<Manifest>),
    /// Services and plans.
    Plans(Plans),
    /// Workspaces.
    Workspaces(Workspaces),
}
