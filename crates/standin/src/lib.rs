//! Stand-ins for the platform's log and for upstreams, with a load generator, a trace checker and other tools for tests
//! and benches.
//!
//! Nothing here is shipped. The stand-ins serve the interfaces of `docs/INTERFACES.md` and inject faults on command.

mod caller;
mod checker;
mod clock;
mod execution;
mod http;
mod lock;
mod log;
mod network;
mod processes;
mod quickstart;
mod server_runtime;
mod stdin;
mod upstream;

pub use caller::EchoResponse;
pub use caller::LoadPlan;
pub use caller::LoadReport;
pub use caller::LoadSummary;
pub use caller::Observation;
pub use caller::RequestStream;
pub use caller::read_observations;
pub use checker::Location;
pub use checker::Outage;
pub use checker::RateLimit;
pub use checker::StatedLimit;
pub use checker::Trace;
pub use checker::TraceFacts;
pub use checker::Violation;
pub use clock::MonotonicUs;
pub use clock::monotonic_us;
pub use execution::Execution;
pub use execution::ExecutionOutcome;
pub use execution::read_executions;
pub use log::LogClient;
pub use log::LogFaults;
pub use log::LogOptions;
pub use log::LogStandin;
pub use network::Network;
pub use processes::Fleet;
pub use processes::FleetBuilder;
pub use processes::FleetError;
pub use processes::Process;
pub use processes::ServiceKind;
pub use processes::VmAddresses;
pub use processes::WorkspacePlan;
pub use quickstart::quickstart;
pub use stdin::wait_until_stopped;
pub use upstream::POISON_EXIT_CODE;
pub use upstream::POISON_MARKER;
pub use upstream::UpstreamCounters;
pub use upstream::UpstreamFaults;
pub use upstream::UpstreamOptions;
pub use upstream::UpstreamStandin;
