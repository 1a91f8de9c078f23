//! Authentication of requests by tenant key.

use cluster::Fleet;
use config::KeyHash;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use ids::WorkspaceId;
use policy::Reason;

/// Prefix of the `authorization` header that carries a tenant key.
const SCHEME: &str = "Bearer ";

/// Hash of a valid tenant key, with the workspace that the key belongs to.
#[derive(Clone, Debug)]
pub(crate) struct Credentials {
    pub(crate) hash: KeyHash,
    pub(crate) workspace: WorkspaceId,
}

impl Credentials {
    /// Reads the tenant key of a request. Returns `None` for a request without one.
    pub(crate) fn from_headers(headers: &HeaderMap, fleet: &Fleet) -> Result<Option<Self>, Reason> {
        let Some(header) = headers.get(AUTHORIZATION) else {
            return Ok(None);
        };
        let text = header.to_str().map_err(|_| Reason::Unauthenticated)?;
        let key = text.strip_prefix(SCHEME).ok_or(Reason::Unauthenticated)?;
        let hash = KeyHash::of(key.trim());
        if fleet.is_withdrawn(&hash) {
            return Err(Reason::KeyWithdrawn);
        }
        let workspace = fleet.workspace_of(&hash).ok_or(Reason::Unauthenticated)?;
        Ok(Some(Self {
            workspace: workspace.clone(),
            hash,
        }))
    }

    /// Reports whether the key still belongs to the workspace.
    pub(crate) fn are_valid(&self, fleet: &Fleet) -> bool {
        fleet.workspace_of(&self.hash) == Some(&self.workspace)
    }
}
