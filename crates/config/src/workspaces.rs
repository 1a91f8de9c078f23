//! Document that declares workspaces.

use std::collections::BTreeMap;

use ids::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::DocumentError;
use crate::Plans;
use crate::Workspace;
use crate::check::check_name;
use crate::parse::parse;

/// Every workspace and its plan.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspaces {
    /// Workspaces by name.
    #[serde(deserialize_with = "crate::unique::map")]
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
}

impl Workspaces {
    /// Parses and checks a document against the plans in force.
    ///
    /// # Errors
    ///
    /// Returns the first problem found, with its path and remedy.
    pub fn parse(text: &str, plans: &Plans) -> Result<Self, DocumentError> {
        let workspaces: Self = parse(text)?;
        workspaces.check(plans)?;
        Ok(workspaces)
    }

    /// Checks the document against the plans in force.
    ///
    /// # Errors
    ///
    /// Returns the first problem found, with its path and remedy.
    pub fn check(&self, plans: &Plans) -> Result<(), DocumentError> {
        for (name, workspace) in &self.workspaces {
            let path = format!("workspaces.{name}");
            check_name(&path, name)?;
            if !plans.plans.contains_key(&workspace.plan) {
                return Err(DocumentError::value(
                    format!("{path}.plan"),
                    format!("plan `{}` is not declared", workspace.plan),
                    "publish the plan first or choose a declared one",
                ));
            }
        }
        Ok(())
    }
}
