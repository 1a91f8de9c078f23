//! A workspace of a fleet and its limits.

use ids::WorkspaceId;

use crate::RequestStream;

/// A workspace with its own plan and tenant key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkspacePlan {
    /// Maximum number of requests in a burst.
    pub burst: u32,
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Rate limit in requests per second.
    pub rate: u32,
    /// Tenant key, which authenticates the requests of the workspace.
    pub tenant_key: String,
    /// Share of a busy upstream, relative to the weights of the other workspaces.
    pub weight: u32,
}

impl WorkspacePlan {
    /// Returns a workspace whose rate limit is too high to have an effect, with the tenant key `key-NAME`.
    pub fn new(name: &str) -> Self {
        Self {
            burst: 1_000_000,
            name: name.to_owned(),
            rate: 1_000_000,
            tenant_key: format!("key-{name}"),
            weight: 1,
        }
    }

    /// Limits the workspace to a number of requests per second and a burst.
    pub fn with_rate_limit(mut self, rate: u32, burst: u32) -> Self {
        self.rate = rate;
        self.burst = burst;
        self
    }

    /// Returns a stream of requests of the workspace, at a rate in requests per second.
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
