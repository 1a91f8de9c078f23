//! How many tokens an entry asks for.

use serde::Deserialize;
use serde::Serialize;

/// How many tokens an entry asks for.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WantedTokens {
    /// Tokens for requests that are expected soon.
    #[serde(rename = "ahead")]
    pub prefetch: u32,
    /// Tokens for requests that wait.
    pub waiting: u32,
}
