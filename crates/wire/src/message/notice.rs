//! Messages between peers that have no reply.

use prost::Oneof;

use crate::Acknowledge;
use crate::Cancel;
use crate::LoadReport;

/// A message that has no reply and is lost when its link closes.
#[derive(Clone, Oneof, PartialEq)]
pub enum Notice {
    /// Acknowledges answers.
    #[prost(message, tag = "1")]
    Acknowledge(Acknowledge),
    /// Cancels a request.
    #[prost(message, tag = "2")]
    Cancel(Cancel),
    /// Reports the load of the peer.
    #[prost(message, tag = "3")]
    LoadReport(LoadReport),
}
