//! Permission to run one request.

use std::sync::Arc;
use std::time::Duration;

use ids::RequestId;
use policy::Completion;
use policy::Ticket;
use upstream::UpstreamClient;

use crate::home::Home;

/// Time after which an upstream that does not confirm the end of a request counts as having ended it.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two tries to have a request ended.
const CONFIRMATION_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Permission to run one request on the local upstream. It ends as cancelled when it is dropped.
///
/// The slot of a request that was sent, and has no answer, stays taken until the upstream confirms that the request
/// no longer runs. The upstream would otherwise get more than it bears.
#[derive(Debug)]
pub(crate) struct Permit {
    completion: Completion,
    home: Arc<Home>,
    sent: Option<SentRequest>,
    started_at: Duration,
    ticket: Ticket,
}

/// A request that may run on the upstream.
#[derive(Debug)]
struct SentRequest {
    client: Arc<UpstreamClient>,
    request_id: RequestId,
}

impl Permit {
    pub(crate) fn new(home: Arc<Home>, started_at: Duration, ticket: Ticket) -> Self {
        Self {
            completion: Completion::Cancelled,
            home,
            sent: None,
            started_at,
            ticket,
        }
    }

    /// Notes that the request is about to be sent.
    pub(crate) fn mark_sent(&mut self, client: &Arc<UpstreamClient>, request_id: &RequestId) {
        self.sent = Some(SentRequest {
            client: Arc::clone(client),
            request_id: request_id.clone(),
        });
    }

    /// Ends the permit of a request that does not run.
    pub(crate) fn end(mut self, completion: Completion) {
        self.sent = None;
        self.completion = completion;
    }

    /// Ends the permit of a request that may still run, once the upstream confirms that it does not.
    pub(crate) fn end_when_confirmed(mut self, completion: Completion) {
        self.completion = completion;
    }

    /// Returns the time at which the request started.
    pub(crate) fn started_at(&self) -> Duration {
        self.started_at
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (home, ticket, completion) = (Arc::clone(&self.home), self.ticket, self.completion);
        match self.sent.take() {
            None => home.release(ticket, completion),
            Some(sent) => {
                tokio::spawn(async move {
                    let _ = tokio::time::timeout(CONFIRMATION_TIMEOUT, sent.cancel()).await;
                    home.release(ticket, completion);
                });
            }
        }
    }
}

impl SentRequest {
    /// Has the upstream end the request, and returns when it has confirmed that.
    async fn cancel(&self) {
        while self.client.cancel(&self.request_id).await.is_err() {
            tokio::time::sleep(CONFIRMATION_RETRY_DELAY).await;
        }
    }
}
