//! Rate limits of workspaces: the buckets that this process owns, and the tokens that it holds as an entry.

mod buckets;
mod plan_limit;
mod token_messages;
mod workspace_limiter;
mod workspace_limiters;

pub(crate) use buckets::Buckets;
pub(crate) use workspace_limiters::WorkspaceLimiters;
