//! Identifiers that every crate of the workspace shares.

mod generation;
mod unit;

pub use generation::Generation;
pub use generation::first_offset;
pub use generation::generation_of;
pub use unit::ParseUnitError;
pub use unit::Unit;

/// Number of token buckets of each workspace, which share its rate.
pub const BUCKETS_PER_WORKSPACE: u32 = 4;

/// Number that orders grants of one unit: the offset of the record that decided its owner.
pub type Fence = u64;

/// Identifies one run of a member process: the offset of its `Join` record.
pub type Incarnation = u64;

/// Position of a record in the platform's log, which includes the [`Generation`] of the log.
pub type Offset = u64;

/// Unique id of a log record, chosen by its writer.
pub type RecordId = String;

/// Name of a region.
pub type RegionId = String;

/// Unique id of one caller request.
pub type RequestId = String;

/// Name of a service that upstreams provide.
pub type ServiceId = String;

/// Version of an upstream, as the platform names it. Empty if it names none.
pub type UpstreamVersion = String;

/// Name of a VM, unique in the fleet.
pub type VmId = String;

/// Name of a workspace.
pub type WorkspaceId = String;

/// Name of an availability zone.
pub type ZoneId = String;
