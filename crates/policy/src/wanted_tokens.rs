//! Numbers of tokens that an entry requests.

use serde::Deserialize;
use serde::Serialize;

/// Numbers of tokens that an entry requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WantedTokens {
    /// Tokens prefetched for requests that are expected soon.
    #[serde(rename = "ahead")]
    pub prefetch: u32,
    /// Tokens for waiting requests.
    pub waiting: u32,
}
