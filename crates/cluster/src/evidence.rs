//! What shows that a witness no longer renews a lease.

use serde::Deserialize;
use serde::Serialize;

/// What shows that a witness no longer renews the lease of a member.
///
/// Each kind states by when every lease that the witness took part in is over, in milliseconds
/// counted from the record that gave the evidence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Evidence {
    /// The witness has stopped altogether: it left, was replaced, or an operator found it gone.
    Gone(u64),
    /// The witness was lost, so that it has no right to renew. It may still answer heartbeats.
    Lost(u64),
    /// The witness has suspected the member, and answers it no more.
    Suspected(u64),
}

impl Evidence {
    pub(crate) fn wait_ms(self) -> u64 {
        match self {
            Self::Gone(wait_ms) | Self::Lost(wait_ms) | Self::Suspected(wait_ms) => wait_ms,
        }
    }

    /// Tells whether the witness no longer answers heartbeats of the member.
    pub(crate) fn ends_heartbeats(self) -> bool {
        !matches!(self, Self::Lost(_))
    }

    pub(crate) fn is_suspicion(self) -> bool {
        matches!(self, Self::Suspected(_))
    }
}
