//! Document that combines everything that operators declare.

use serde::Deserialize;
use serde::Serialize;

use crate::DocumentError;
use crate::Plans;
use crate::Workspaces;

/// Plans and workspaces that take effect together, with their revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Services, routes and plans.
    pub plans: Plans,
    /// Number of the revision, higher than that of every earlier one.
    pub revision: u64,
    /// Workspaces with their tenant keys.
    pub workspaces: Workspaces,
}

impl Manifest {
    /// Checks the document.
    ///
    /// # Errors
    ///
    /// Returns the first problem found, with its path and remedy.
    pub fn check(&self) -> Result<(), DocumentError> {
        if self.revision == 0 {
            return Err(DocumentError::value(
                "revision",
                "0 is not a valid revision",
                "number revisions from 1",
            ));
        }
        self.plans.check()?;
        self.workspaces.check(&self.plans)
    }
}
