//! Load generator that records the result of every request.

mod client;
mod key_distribution;
mod load_plan;
mod load_report;
mod load_summary;
mod observation;
mod request_stream;
mod run_stream;

pub use load_plan::LoadPlan;
pub use load_report::LoadReport;
pub use load_summary::LoadSummary;
pub use observation::EchoResponse;
pub use observation::Observation;
pub use observation::read_observations;
pub use request_stream::RequestStream;

use client::Client;
use client::LoadRequest;
use key_distribution::KeyDistribution;
use run_stream::run_stream;
