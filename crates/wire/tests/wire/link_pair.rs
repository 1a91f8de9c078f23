//! Links with both ends in the test process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use wire::Dispatch;
use wire::DropCounters;
use wire::Identity;
use wire::IncomingMessages;
use wire::Link;
use wire::LinkError;
use wire::LinkSettings;
use wire::Secret;

use crate::forwarder::Forwarder;

/// Timeout that no call reaches.
pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) type OpenResult = Result<(Link, IncomingMessages), LinkError>;

/// Both ends of a link, with the drop counters of the accepting end.
pub(crate) struct LinkPair {
    pub(crate) accepted: OpenResult,
    pub(crate) connected: OpenResult,
    pub(crate) counters: Arc<DropCounters>,
}

pub(crate) fn dispatch(request_id: &str) -> Dispatch {
    Dispatch {
        request_id: request_id.to_owned(),
        ..Dispatch::default()
    }
}

pub(crate) fn secret(byte: u8) -> Secret {
    Secret::new(&[byte; 32]).unwrap()
}

pub(crate) fn identity(vm: &str) -> Identity {
    Identity {
        incarnation: 7,
        vm: vm.to_owned(),
    }
}

pub(crate) async fn connect(
    addr: SocketAddr,
    secret: &Secret,
    settings: &LinkSettings,
) -> OpenResult {
    let counters = Arc::default();
    wire::connect(addr, secret, &identity("vm-1"), settings, &counters).await
}

pub(crate) async fn accept(
    listener: &TcpListener,
    secret: &Secret,
    settings: &LinkSettings,
    counters: &Arc<DropCounters>,
) -> OpenResult {
    let (stream, _) = listener.accept().await.unwrap();
    wire::accept(stream, secret, &identity("vm-2"), settings, counters).await
}

/// Opens a link through a forwarder.
pub(crate) async fn open_through_forwarder(
    forwarder: Forwarder,
    secrets: [&Secret; 2],
    settings: &LinkSettings,
) -> LinkPair {
    let counters = Arc::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = forwarder.start(listener.local_addr().unwrap()).await;
    let (connected, accepted) = tokio::join!(
        connect(addr, secrets[0], settings),
        accept(&listener, secrets[1], settings, &counters)
    );
    LinkPair {
        accepted,
        connected,
        counters,
    }
}

/// Opens a link whose ends have the same secret.
pub(crate) async fn open(settings: &LinkSettings) -> [(Link, IncomingMessages); 2] {
    let secret = secret(1);
    let pair = open_through_forwarder(Forwarder::default(), [&secret, &secret], settings).await;
    [pair.connected.unwrap(), pair.accepted.unwrap()]
}
