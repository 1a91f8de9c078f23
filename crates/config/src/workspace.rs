//! Workspace of a customer.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::KeyHash;

/// A customer of the platform.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Hashes of the tenant keys, for workspaces whose keys are declared with them.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub keys: BTreeSet<KeyHash>,
    /// Name of the plan that the workspace is on.
    pub plan: String,
}
