//! The question what became of a request.

use std::time::Duration;

use policy::Outcome;
use policy::Reason;
use policy::Statement;
use wire::RequestStatus;
use wire::StatusQuery;

use crate::entry::call_home::Reply;
use crate::entry::call_home::not_run;
use crate::entry::target::Target;
use crate::home::decode_statement;
use crate::links::LinkPool;
use crate::shared::Shared;

/// Time after which an unanswered question is asked again on a new link.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause between two questions.
const ASK_PAUSE: Duration = Duration::from_millis(50);

/// Asks the home of a request what became of it, until it can tell or the deadline passes.
pub(crate) struct Inquiry<'a> {
    pub(crate) deadline: Duration,
    pub(crate) links: &'a LinkPool,
    /// Life of the process that the request was sent to, whose memory alone can tell.
    pub(crate) process: u64,
    pub(crate) request_id: &'a str,
    pub(crate) shared: &'a Shared,
    pub(crate) target: &'a Target,
}

impl Inquiry<'_> {
    pub(crate) async fn run(&self) -> Reply {
        while self.shared.clock.now() < self.deadline {
            if let Some(reply) = self.ask().await {
                return reply;
            }
            tokio::time::sleep(ASK_PAUSE).await;
        }
        self.unknown()
    }

    /// Asks once, and returns `None` when the home cannot tell yet.
    async fn ask(&self) -> Option<Reply> {
        let vm = &self.target.vm;
        let Some(link) = self.links.link(vm, self.target.address).await else {
            // The memory of the process has ended with it.
            return self.links.is_gone(vm).await.then(|| self.unknown());
        };
        if link.peer().incarnation != self.process {
            return Some(self.unknown());
        }
        let query = StatusQuery {
            request_id: self.request_id.to_owned(),
            unit: self.target.grant.as_ref().map(|(unit, _)| unit.to_string()),
        };
        match link.query_status(query, ASK_TIMEOUT).await {
            Ok(RequestStatus::Answer(answer)) => Some(Reply::Answer(answer)),
            Ok(RequestStatus::Barred) => Some(not_run(self.request_id, Reason::OwnerUnreachable)),
            Ok(RequestStatus::NotOwner(_)) => Some(self.unknown()),
            Ok(RequestStatus::Refused(refused)) => {
                Some(Reply::Stated(decode_statement(self.request_id, &refused)))
            }
            Ok(RequestStatus::Running) => None,
            Err(_) => {
                self.links.discard(&self.target.vm).await;
                None
            }
        }
    }

    fn unknown(&self) -> Reply {
        let request_id = self.request_id.to_owned();
        let is_late = self.shared.clock.now() >= self.deadline;
        let reason = if is_late {
            Reason::DeadlinePassed
        } else {
            Reason::OwnerUnreachable
        };
        Reply::Stated(Statement::from_home(
            request_id,
            Outcome::Unknown,
            reason,
            None,
        ))
    }
}
