//! Checks recorded traces for violations of the guarantees that the system gives.

mod capacity;
mod delivery;
mod excess_tree;
mod execution_index;
mod out_of_service;
mod ownership;
mod rates;
mod repetitions;
mod responses;
mod trace;
mod trace_facts;
mod upstream_rates;
mod violation;

pub use trace::Trace;
pub use trace_facts::Location;
pub use trace_facts::Outage;
pub use trace_facts::RateLimit;
pub use trace_facts::StatedLimit;
pub use trace_facts::TraceFacts;
pub use violation::Violation;

use excess_tree::ExcessTree;
use execution_index::ExecutionIndex;
