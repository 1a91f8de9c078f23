//! Interfaces to an environment that replaces this product's own interfaces to the log, operators and the upstream.

mod declaration_reads;
mod declaration_sink;
mod environment_trait;
mod upstream_grants;
mod upstream_message;

pub use declaration_reads::DeclarationReads;
pub use declaration_sink::DeclarationSink;
pub use environment_trait::Environment;
pub use upstream_grants::RangeGrant;
pub use upstream_grants::UpstreamGrants;
pub use upstream_message::UpstreamCheckIn;
pub use upstream_message::UpstreamMessage;
