//! Outcome of a dispatched request.

use crate::Answer;
use crate::HomeLoad;
use crate::NotOwner;
use crate::Refused;
use crate::Reply;

/// The reply to a [`crate::Dispatch`].
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The upstream answered.
    Answer(Answer),
    /// The home does not own the unit, and the request did not run.
    NotOwner(NotOwner),
    /// The home refused the request.
    Refused(Refused),
}

impl Outcome {
    /// Returns what the home states of its load.
    pub fn load(&self) -> Option<HomeLoad> {
        match self {
            Self::Answer(answer) => answer.load,
            Self::NotOwner(_) => None,
            Self::Refused(refused) => refused.load,
        }
    }

    /// Adds what the home states of its load.
    pub fn set_load(&mut self, load: Option<HomeLoad>) {
        match self {
            Self::Answer(answer) => answer.load = load,
            Self::NotOwner(_) => {}
            Self::Refused(refused) => refused.load = load,
        }
    }
}

impl From<Outcome> for Reply {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answer(answer) => Self::Answer(answer),
            Outcome::NotOwner(not_owner) => Self::NotOwner(not_owner),
            Outcome::Refused(refused) => Self::Refused(refused),
        }
    }
}

impl TryFrom<Reply> for Outcome {
    type Error = Reply;

    fn try_from(reply: Reply) -> Result<Self, Reply> {
        match reply {
            Reply::Answer(answer) => Ok(Self::Answer(answer)),
            Reply::NotOwner(not_owner) => Ok(Self::NotOwner(not_owner)),
            Reply::Refused(refused) => Ok(Self::Refused(refused)),
            other => Err(other),
        }
    }
}
