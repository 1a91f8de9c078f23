//! Status of a request.

use crate::Answer;
use crate::Barred;
use crate::NotOwner;
use crate::Refused;
use crate::Reply;
use crate::Running;

/// The reply to a [`crate::StatusQuery`].
#[derive(Clone, Debug, PartialEq)]
pub enum RequestStatus {
    /// The request ran, and this is its answer.
    Answer(Answer),
    /// The home does not know the request, and will never run it.
    Barred(Barred),
    /// The home does not own the unit and does not know the status.
    NotOwner(NotOwner),
    /// The request was refused.
    Refused(Refused),
    /// The request is queued or running.
    Running,
}

impl From<RequestStatus> for Reply {
    fn from(status: RequestStatus) -> Self {
        match status {
            RequestStatus::Answer(answer) => Self::Answer(answer),
            RequestStatus::Barred(barred) => Self::Barred(barred),
            RequestStatus::NotOwner(not_owner) => Self::NotOwner(not_owner),
            RequestStatus::Refused(refused) => Self::Refused(refused),
            RequestStatus::Running => Self::Running(Running {}),
        }
    }
}

impl TryFrom<Reply> for RequestStatus {
    type Error = Reply;

    fn try_from(reply: Reply) -> Result<Self, Reply> {
        match reply {
            Reply::Answer(answer) => Ok(Self::Answer(answer)),
            Reply::Barred(barred) => Ok(Self::Barred(barred)),
            Reply::NotOwner(not_owner) => Ok(Self::NotOwner(not_owner)),
            Reply::Refused(refused) => Ok(Self::Refused(refused)),
            Reply::Running(_) => Ok(Self::Running),
            other => Err(other),
        }
    }
}
