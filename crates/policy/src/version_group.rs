//! Version that an upstream runs during a roll-out.

/// Version that an upstream runs, as seen by a roll-out.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum VersionGroup {
    /// A version other than the target, which serves as the reference.
    Current,
    /// The target version, which is on trial.
    Trial,
}
