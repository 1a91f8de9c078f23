//! Outcome of a request for tokens.

use crate::NotOwner;
use crate::Reply;
use crate::Tokens;

/// The reply to a [`crate::TakeTokens`].
#[derive(Clone, Debug, PartialEq)]
pub enum TokensOutcome {
    /// The peer does not own the bucket.
    NotOwner(NotOwner),
    /// The tokens.
    Tokens(Tokens),
}

impl From<TokensOutcome> for Reply {
    fn from(outcome: TokensOutcome) -> Self {
        match outcome {
            TokensOutcome::NotOwner(not_owner) => Self::NotOwner(not_owner),
            TokensOutcome::Tokens(tokens) => Self::Tokens(tokens),
        }
    }
}

impl TryFrom<Reply> for TokensOutcome {
    type Error = Reply;

    fn try_from(reply: Reply) -> Result<Self, Reply> {
        match reply {
            Reply::NotOwner(not_owner) => Ok(Self::NotOwner(not_owner)),
            Reply::Tokens(tokens) => Ok(Self::Tokens(tokens)),
            other => Err(other),
        }
    }
}
