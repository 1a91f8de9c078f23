//! Attributes of a workspace that decide the rank of its requests.

/// Attributes of a workspace that decide the rank of its requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RankedWorkspace {
    /// Priority of the workspace, or `None` if that of the route decides.
    pub priority: Option<u32>,
}
