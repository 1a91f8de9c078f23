//! Ownership of the keys of a service.

/// Whether the keys of a service have owners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// Each key has one owner.
    Keyed {
        /// Number of shards into which the keys are divided.
        shards: u32,
    },
    /// Keys have no owners: any upstream may serve any request.
    Keyless,
}

impl ServiceKind {
    pub(crate) fn shards(self) -> u32 {
        match self {
            Self::Keyed { shards } => shards,
            Self::Keyless => 0,
        }
    }
}
