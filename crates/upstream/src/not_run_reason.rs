//! Reason why an upstream did not run a request.

/// Reason why an upstream did not run a request, as given in its `skylark-not-run` header.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NotRunReason {
    /// The upstream holds no valid grant for the unit and fence.
    Fence,
    /// Any other reason.
    Other(String),
    /// The upstream is shedding load.
    Shed,
}

impl NotRunReason {
    pub(crate) fn parse(text: &str) -> Self {
        match text {
            "fence" => Self::Fence,
            "shed" => Self::Shed,
            other => Self::Other(other.to_owned()),
        }
    }
}
