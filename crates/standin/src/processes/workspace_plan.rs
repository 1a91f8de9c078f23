//! What one workspace may use.

use ids::WorkspaceId;

use crate::RequestStream;

/// A workspace with a plan of its own, and its tenant key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkspacePlan {
    /// Requests that it may send at once.
    pub burst: u32,
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Requests per second.
    pub rate: u32,
    /// The tenant key.
    pub tenant_key: String,
    /// Share of a busy upstream.
    pub weight: u32,
}

impl WorkspacePlan {
    /// Returns a workspace that its rate does not hold back, with the tenant key `key-NAME`.
    pub fn new(name: &str) -> Self {
        Self {
            burst: 1_000_000,
            name: name.to_owned(),
            rate: 1_000_000,
            tenant_key: format!("key-{name}"),
            weight: 1,
        }
    }

    /// Limits the workspace to a rate per second and a burst.
    pub fn with_rate_limit(mut self, rate: u32, burst: u32) -> Self {
        self.rate = rate;
        self.burst = burst;
        self
    }

    /// Returns a stream of requests of the workspace, at a rate per second.
    pub fn stream(&self, service: &str, method: &str, rate: f64) -> RequestStream {
        RequestStream {
            method: method.to_owned(),
            rate,
            service: service.to_owned(),
            tenant_key: Some(self.tenant_key.clone()),
            workspace: Some(self.name.clone()),
            ..RequestStream::default()
        }
    }
}
