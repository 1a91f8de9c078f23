//! A published document.

use config::Manifest;
use config::Plans;
use config::Workspaces;
use serde::Deserialize;
use serde::Serialize;

/// A document that operators publish as a whole.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Document {
    /// Everything that operators declare, in force in place of all that was published before.
    Manifest(Box<Manifest>),
    /// Services and plans.
    Plans(Plans),
    /// Workspaces.
    Workspaces(Workspaces),
}
