//! Faults that a network currently injects.

use std::collections::BTreeSet;

use tokio::sync::watch;

/// Name of an endpoint of the network: a VM or the log.
pub(crate) type EndpointName = String;

/// Faults that a network currently injects.
#[derive(Clone, Debug, Default)]
pub(crate) struct NetworkState {
    /// Pairs of sender and receiver whose traffic is blocked in this direction.
    pub(crate) blocked_pairs: BTreeSet<(EndpointName, EndpointName)>,
    /// Number of the current epoch. Connections opened in an earlier epoch are stalled permanently.
    pub(crate) epoch: u64,
}

impl NetworkState {
    pub(crate) fn is_blocked(&self, from: &str, to: &str) -> bool {
        self.blocked_pairs
            .contains(&(from.to_owned(), to.to_owned()))
    }

    /// Waits until traffic on a connection opened in `epoch` may pass, or forever when the connection is stalled or the
    /// network is dropped.
    pub(crate) async fn wait_until_unblocked(
        rx: &mut watch::Receiver<Self>,
        from: &str,
        to: &str,
        epoch: u64,
    ) {
        let unblocked = rx.wait_for(|state| state.epoch == epoch && !state.is_blocked(from, to));
        if unblocked.await.is_err() {
            // The network was dropped, and its runtime ends this task too.
            std::future::pending::<()>().await;
        }
    }
}
