//! Permit to run one request on the local upstream.

use std::sync::Arc;
use std::time::Duration;

use ids::RequestId;
use policy::Completion;
use policy::Ticket;
use upstream::UpstreamClient;

use crate::home::Home;

/// Time after which a request counts as ended although the upstream has not confirmed that.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay between two attempts to cancel a request.
const CONFIRMATION_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Permit to run one request on the local upstream. A permit that is dropped ends as cancelled.
///
/// The slot of a request that was sent and not answered stays taken until the upstream confirms that the request no
/// longer runs. Otherwise the upstream would get more requests than it can serve.
#[derive(Debug)]
pub(crate) struct Permit {
    completion: Completion,
    home: Arc<Home>,
    sent: Option<SentRequest>,
    started_at: Duration,
    ticket: Ticket,
}

/// A request that was sent and may be running on the upstream.
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

    /// Records that the request is about to be sent.
    pub(crate) fn mark_sent(&mut self, client: &Arc<UpstreamClient>, request_id: &RequestId) {
        self.sent = Some(SentRequest {
            client: Arc::clone(client),
            request_id: request_id.clone(),
        });
    }

    /// Ends the permit of a request that is no longer running.
    pub(crate) fn end(mut self, completion: Completion) {
        self.sent = None;
        self.completion = completion;
    }

    /// Ends the permit of a request that may still be running, once the upstream confirms that it is not.
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
    /// Cancels the request, and returns when the upstream has confirmed that it no longer runs.
    async fn cancel(&self) {
        while self.client.cancel(&self.request_id).await.is_err() {
            tokio::time::sleep(CONFIRMATION_RETRY_DELAY).await;
        }
    }
}
