//! What a network lets through.

use std::collections::BTreeSet;

use tokio::sync::watch;

/// Name of an end of the network: a VM or the log.
pub(crate) type EndpointName = String;

/// What a network lets through.
#[derive(Clone, Debug, Default)]
pub(crate) struct NetworkState {
    /// Pairs of sender and receiver between which nothing passes.
    pub(crate) blocked: BTreeSet<(EndpointName, EndpointName)>,
    /// Connections opened under an older number are silent for good.
    pub(crate) epoch: u64,
}

impl NetworkState {
    pub(crate) fn is_blocked(&self, from: &str, to: &str) -> bool {
        self.blocked.contains(&(from.to_owned(), to.to_owned()))
    }

    /// Waits until what is sent on a connection opened in `epoch` arrives, for good when it never does.
    pub(crate) async fn wait_until_unblocked(
        rx: &mut watch::Receiver<Self>,
        from: &str,
        to: &str,
        epoch: u64,
    ) {
        let open = rx.wait_for(|state| state.epoch == epoch && !state.is_blocked(from, to));
        if open.await.is_err() {
            // The network ends, and its connections with it.
            std::future::pending::<()>().await;
        }
    }
}
