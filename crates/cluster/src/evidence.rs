//! Evidence that a witness no longer renews a lease.

use serde::Deserialize;
use serde::Serialize;

/// Evidence that a witness no longer renews the lease of a member.
///
/// Each kind holds the time after which every lease that the witness helped to renew is over, in milliseconds from the
/// record that gave the evidence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Evidence {
    /// The witness has stopped: it left, was replaced, or an operator declared it lost.
    Gone(u64),
    /// The witness was lost and must no longer renew leases. It may still answer heartbeats.
    Lost(u64),
    /// The witness suspects the member and no longer answers its heartbeats.
    Suspected(u64),
}

impl Evidence {
    pub(crate) fn wait_ms(self) -> u64 {
        match self {
            Self::Gone(wait_ms) | Self::Lost(wait_ms) | Self::Suspected(wait_ms) => wait_ms,
        }
    }

    /// Reports whether the witness no longer answers heartbeats of the member.
    pub(crate) fn ends_heartbeats(self) -> bool {
        !matches!(self, Self::Lost(_))
    }

    pub(crate) fn is_suspicion(self) -> bool {
        matches!(self, Self::Suspected(_))
    }
}
