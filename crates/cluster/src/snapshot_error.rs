//! Errors of restoring a snapshot.

use thiserror::Error;

/// Error of restoring a snapshot.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// The checksum or the content of the snapshot is inconsistent.
    #[error("the snapshot is damaged: read an older one, or ask another member for its state")]
    Damaged,
    /// The snapshot has a format that this version does not know.
    #[error("the snapshot has an unknown format: {0}: run the version that wrote it")]
    UnknownFormat(#[from] serde_json::Error),
}
