//! Identity of a process.

use ids::VmId;

/// Identity of one process of the cluster.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Identity {
    /// Random number that is chosen at every start of the process.
    pub incarnation: u64,
    /// VM that the process runs on.
    pub vm: VmId,
}
