//! Why an upstream did not run a request.

/// Why an upstream did not run a request, as its `skylark-not-run` header states.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NotRunReason {
    /// The upstream holds no grant in force for the unit and fence.
    Fence,
    /// Any other reason.
    Other(String),
    /// The upstream sheds load.
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
