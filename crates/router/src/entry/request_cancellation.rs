//! Cancellation of a request whose link is lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ids::RequestId;
use ids::VmId;
use tokio::runtime::Handle;
use tokio::time::sleep;
use tokio::time::timeout_at;
use wire::Cancel;
use wire::Link;
use wire::Notice;

use crate::links::LinkPool;
use crate::shared::Shared;

/// Delay between two attempts to send the cancellation.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Cancels a request at its home once the link of its call is lost.
///
/// A call that is dropped tells its peer over its own link. That is lost with a link that has stalled, and nobody tells a home
/// that is only queried for the outcome any more.
pub(crate) struct RequestCancellation {
    pub(crate) address: SocketAddr,
    /// Time after which the home ends the request by itself.
    pub(crate) deadline: Duration,
    pub(crate) link: Link,
    pub(crate) links: Arc<LinkPool>,
    pub(crate) request_id: RequestId,
    pub(crate) shared: Arc<Shared>,
    pub(crate) vm: VmId,
}

/// Runs the cancellation of a request on drop, unless its outcome is known.
pub(crate) struct CancelOnDrop(Option<RequestCancellation>);

impl CancelOnDrop {
    pub(crate) fn new(cancellation: RequestCancellation) -> Self {
        Self(Some(cancellation))
    }

    /// Prevents the cancellation of a request whose outcome is known.
    pub(crate) fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let (Some(cancellation), Ok(runtime)) = (self.0.take(), Handle::try_current()) {
            runtime.spawn(cancellation.run());
        }
    }
}

impl RequestCancellation {
    async fn run(self) {
        let deadline = self.shared.clock.instant_at(self.deadline);
        let closing = timeout_at(deadline.into(), self.link.closed());
        if closing.await.is_err() {
            return;
        }
        while self.shared.clock.now() < self.deadline && !self.send().await {
            sleep(RETRY_DELAY).await;
        }
    }

    /// Sends the cancellation, and reports whether no further attempt is needed.
    async fn send(&self) -> bool {
        let Some(link) = self.links.link(&self.vm, self.address).await else {
            return false;
        };
        if link.peer().incarnation != self.link.peer().incarnation {
            return true;
        }
        let request_id = self.request_id.clone();
        let is_sent = link.notify(Notice::Cancel(Cancel { request_id })).is_ok();
        if is_sent {
            let metrics = &self.shared.metrics;
            metrics.count_event("caller-left", "cancelled-again");
        }
        is_sent
    }
}
