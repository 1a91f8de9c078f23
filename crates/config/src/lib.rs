//! Documents that operators publish: plans with the services that they grant, and workspaces.

mod check;
mod cold_start;
mod document_error;
mod host_route;
mod host_route_match;
mod key_hash;
mod key_range;
mod manifest;
mod parse;
mod plan;
mod plans;
mod route;
mod service;
mod unique;
mod workspace;
mod workspaces;

pub use check::MAX_NAME_BYTES;
pub use cold_start::ColdStart;
pub use document_error::DocumentError;
pub use host_route::HostRoute;
pub use host_route::WeightedTarget;
pub use host_route_match::HostRouteMatch;
pub use key_hash::KeyHash;
pub use key_range::KeyRange;
pub use manifest::Manifest;
pub use plan::MAX_BURST_REQUESTS;
pub use plan::MAX_RATE_REQUESTS_PER_SECOND;
pub use plan::MAX_WEIGHT;
pub use plan::Plan;
pub use plans::Plans;
pub use route::MAX_PREFIX_BYTES;
pub use route::Route;
pub use service::MAX_SHARDS;
pub use service::Service;
pub use workspace::Workspace;
pub use workspaces::Workspaces;
