//! Queries for the outcome of a request whose answer did not arrive.

use std::time::Duration;

use policy::Outcome;
use policy::Reason;
use policy::Statement;
use policy::absent_outcome;
use wire::Barred;
use wire::RequestStatus;
use wire::StatusQuery;

use crate::entry::home_client::Reply;
use crate::entry::home_client::not_run;
use crate::entry::target::Target;
use crate::home::decode_statement;
use crate::links::LinkPool;
use crate::shared::Shared;

/// Time after which an unanswered query is sent again on a new link.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay between two queries.
const QUERY_DELAY: Duration = Duration::from_millis(50);

/// Queries the home of a request for its outcome, until the home knows it or the deadline passes.
pub(crate) struct OutcomeQuery<'a> {
    pub(crate) deadline: Duration,
    pub(crate) links: &'a LinkPool,
    /// Incarnation of the process that the request was sent to, the only one that remembers the outcome.
    pub(crate) incarnation: u64,
    pub(crate) request_id: &'a str,
    /// Time before the request was sent.
    pub(crate) sent_at: Duration,
    pub(crate) shared: &'a Shared,
    pub(crate) target: &'a Target,
}

impl OutcomeQuery<'_> {
    pub(crate) async fn run(&self) -> Reply {
        while self.shared.clock.now() < self.deadline {
            if let Some(reply) = self.query_once().await {
                return reply;
            }
            tokio::time::sleep(QUERY_DELAY).await;
        }
        self.unknown_outcome()
    }

    /// Sends one query. Returns `None` if the home does not know the outcome yet or does not answer.
    async fn query_once(&self) -> Option<Reply> {
        let vm = &self.target.vm;
        let Some(link) = self.links.link(vm, self.target.address).await else {
            // If the process has ended, its record of the request is gone as well.
            return self
                .links
                .has_ended(vm)
                .await
                .then(|| self.unknown_outcome());
        };
        if link.peer().incarnation != self.incarnation {
            return Some(self.unknown_outcome());
        }
        let query = StatusQuery {
            request_id: self.request_id.to_owned(),
            unit: self.target.grant.as_ref().map(|(unit, _)| unit.to_string()),
        };
        match link.query_status(query, QUERY_TIMEOUT).await {
            Ok(RequestStatus::Answer(answer)) => Some(Reply::Answer(answer)),
            Ok(RequestStatus::Barred(barred)) => Some(self.absent_outcome(barred)),
            Ok(RequestStatus::NotOwner(_)) => Some(self.unknown_outcome()),
            Ok(RequestStatus::Refused(refused)) => Some(Reply::Statement(decode_statement(
                self.request_id,
                &refused,
            ))),
            Ok(RequestStatus::Running) => None,
            Err(_) => {
                self.links.discard(&self.target.vm).await;
                None
            }
        }
    }

    fn absent_outcome(&self, barred: Barred) -> Reply {
        let sent_ago = self.shared.clock.now().saturating_sub(self.sent_at);
        let remembered_for = Duration::from_millis(barred.remembered_for_ms);
        match absent_outcome(sent_ago, remembered_for) {
            Outcome::NotRun => not_run(self.request_id, Reason::OwnerUnreachable),
            Outcome::Unknown => self.unknown_outcome(),
        }
    }

    fn unknown_outcome(&self) -> Reply {
        let request_id = self.request_id.to_owned();
        let is_deadline_passed = self.shared.clock.now() >= self.deadline;
        let reason = if is_deadline_passed {
            Reason::DeadlinePassed
        } else {
            Reason::OwnerUnreachable
        };
        Reply::Statement(Statement::from_home(
            request_id,
            Outcome::Unknown,
            reason,
            None,
        ))
    }
}
