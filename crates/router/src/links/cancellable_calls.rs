//! Requests of peers that may be cancelled by a notice.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use ids::RequestId;
use tokio_util::sync::CancellationToken;

/// Requests of peers that wait or run at this home, with the tokens that cancel them.
///
/// A notice cancels a request whose call can no longer be abandoned, since the link of the call was lost.
#[derive(Debug, Default)]
pub(crate) struct CancellableCalls {
    calls: Mutex<BTreeMap<RequestId, Vec<CancellationToken>>>,
}

/// Registration of one call, which ends on drop.
#[derive(Debug)]
pub(crate) struct CancellableCall {
    calls: Arc<CancellableCalls>,
    request_id: RequestId,
    token: CancellationToken,
}

impl CancellableCalls {
    /// Registers a call that sends a request.
    pub(crate) fn register(self: &Arc<Self>, request_id: &RequestId) -> CancellableCall {
        let token = CancellationToken::new();
        let mut calls = self.lock();
        let tokens = calls.entry(request_id.clone()).or_default();
        tokens.push(token.clone());
        drop(calls);
        CancellableCall {
            calls: Arc::clone(self),
            request_id: request_id.clone(),
            token,
        }
    }

    /// Cancels all calls that have sent a request.
    pub(crate) fn cancel(&self, request_id: &str) {
        for token in self.lock().remove(request_id).unwrap_or_default() {
            token.cancel();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<RequestId, Vec<CancellationToken>>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CancellableCall {
    /// Waits until the call is cancelled.
    pub(crate) async fn cancelled(&self) {
        self.token.cancelled().await;
    }
}

impl Drop for CancellableCall {
    fn drop(&mut self) {
        // Marks the own token among those of the same request.
        self.token.cancel();
        let mut calls = self.calls.lock();
        if let Some(tokens) = calls.get_mut(&self.request_id) {
            tokens.retain(|token| !token.is_cancelled());
            if tokens.is_empty() {
                calls.remove(&self.request_id);
            }
        }
    }
}
