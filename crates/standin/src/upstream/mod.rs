//! Stand-in for an upstream.

mod announcer;
mod clock;
mod control_service;
mod counters;
mod faults;
mod grant_order;
mod grants;
mod load_history;
mod options;
mod recorder;
mod request;
mod response;
mod running_request;
mod service;
mod standin;
mod state;
mod warm_up;

pub use counters::UpstreamCounters;
pub use faults::UpstreamFaults;
pub use options::UpstreamOptions;
pub use request::POISON_MARKER;
pub use service::POISON_EXIT_CODE;
pub use standin::UpstreamStandin;

use announcer::Announcement;
use announcer::Announcer;
use clock::Clock;
use control_service::ControlService;
use grant_order::GrantOrder;
use grant_order::GrantResponse;
use grants::Grants;
use load_history::LoadHistory;
use recorder::Recorder;
use request::UpstreamRequest;
use response::build_response;
use running_request::RunningRequest;
use service::UpstreamService;
use state::Admission;
use state::State;
use warm_up::WarmUp;
