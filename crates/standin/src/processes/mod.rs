//! Fleets of real processes on loopback addresses, for tests and benchmarks.

mod addresses;
mod binaries;
mod builder;
mod documents;
mod fleet;
mod fleet_error;
mod process;
mod process_client;
mod service_kind;
mod temp_directory;
mod vm;
mod vm_supervisor;
mod workspace_plan;

pub use addresses::VmAddresses;
pub use builder::FleetBuilder;
pub use fleet::Fleet;
pub use fleet_error::FleetError;
pub use process::Process;
pub use service_kind::ServiceKind;
pub use workspace_plan::WorkspacePlan;

use addresses::AddressAllocator;
use binaries::Binaries;
use documents::build_plans;
use documents::build_trace_facts;
use documents::build_workspaces;
use fleet::FleetParts;
use process_client::ProcessClient;
use temp_directory::TempDirectory;
use vm::Vm;
use vm::VmSpec;
use vm_supervisor::VmSupervisor;
