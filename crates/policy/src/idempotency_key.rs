//! Idempotency key that a caller chose.

use ids::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// Idempotency key that a caller chose, a UUID of version 7.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct IdempotencyKey {
    /// The key as a UUID.
    pub uuid: Uuid,
    /// Workspace that the key belongs to.
    pub workspace: WorkspaceId,
}

impl IdempotencyKey {
    /// Parses a key, or returns `None` if it is not a UUID of version 7.
    pub fn parse(workspace: WorkspaceId, text: &str) -> Option<Self> {
        let uuid = Uuid::try_parse(text).ok()?;
        uuid.get_timestamp()
            .filter(|_| uuid.get_version_num() == 7)?;
        Some(Self { uuid, workspace })
    }

    /// Returns when the key was created, by the caller's clock, in milliseconds since the Unix epoch.
    pub fn created_unix_ms(&self) -> u64 {
        let (seconds, nanos) = self
            .uuid
            .get_timestamp()
            .map_or((0, 0), |timestamp| timestamp.to_unix());
        seconds * 1_000 + u64::from(nanos / 1_000_000)
    }
}
