//! A pool with one link for each peer.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use ids::VmId;
use telemetry::Dependency;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wire::DropCounters;
use wire::Identity;
use wire::IncomingMessages;
use wire::Link;
use wire::LinkError;
use wire::LinkSettings;
use wire::PeerListener;
use wire::Secret;

use crate::links::PeerService;
use crate::shared::Shared;

/// Time after a failed attempt during which no link to the peer is opened.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time that a call waits without any frame from the peer before a ping is sent.
const PING_INTERVAL: Duration = Duration::from_millis(150);

/// Time without any frame from a peer after which it counts as silent.
///
/// It leaves time for two pings and their answers, even if the peer's process is busy.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time that opening a link may take.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_000);

type Slot = Arc<tokio::sync::Mutex<PeerSlot>>;

/// The link to one peer.
#[derive(Debug, Default)]
struct PeerSlot {
    /// Time of the last attempt, if it failed.
    failed_at: Option<Instant>,
    /// Whether nothing listened at the peer's address at the last attempt.
    was_refused: bool,
    link: Option<Link>,
}

impl PeerSlot {
    fn link(&self) -> Option<Link> {
        self.link.clone().filter(|link| !link.is_closed())
    }

    fn failed_recently(&self) -> bool {
        self.failed_at
            .is_some_and(|failed_at| failed_at.elapsed() < RETRY_DELAY)
    }
}

/// Opens links on demand, and serves the calls of peers on all of them.
pub(crate) struct LinkPool {
    counters: Arc<DropCounters>,
    identity: Identity,
    /// Time at which the opening of a link began, for peers whose slots are locked meanwhile.
    opening: Mutex<BTreeMap<VmId, Instant>>,
    secret: Secret,
    service: Arc<PeerService>,
    settings: LinkSettings,
    shared: Arc<Shared>,
    slots: Mutex<BTreeMap<VmId, Slot>>,
}

impl LinkPool {
    pub(crate) fn new(
        identity: Identity,
        secret: Secret,
        service: Arc<PeerService>,
        shared: Arc<Shared>,
    ) -> Self {
        Self {
            counters: Arc::default(),
            identity,
            opening: Mutex::default(),
            secret,
            service,
            settings: LinkSettings {
                handshake_timeout: OPEN_TIMEOUT,
                ping_interval: PING_INTERVAL,
                ..LinkSettings::default()
            },
            shared,
            slots: Mutex::default(),
        }
    }

    /// Returns the link to a peer. Opens it if there is none, unless an attempt has failed recently.
    pub(crate) async fn link(&self, peer: &VmId, address: SocketAddr) -> Option<Link> {
        let slot = self.slot(peer);
        let mut guard = slot.lock().await;
        if let Some(link) = guard.link() {
            return Some(link);
        }
        if guard.failed_recently() {
            return None;
        }
        self.record_opening(peer);
        let opened = self.open(peer, address).await;
        guard.was_refused = opened.as_ref().is_err_and(is_connection_refused);
        guard.link = opened.ok();
        guard.failed_at = guard.link.is_none().then(Instant::now);
        guard.link.clone()
    }

    fn record_opening(&self, peer: &VmId) {
        let mut opening = self.opening.lock().unwrap_or_else(PoisonError::into_inner);
        opening.insert(peer.clone(), Instant::now());
    }

    /// Reports whether a peer is silent, so that calls to it may never be answered.
    ///
    /// A peer is silent if no frames arrive on its link, or if the link takes too long to open.
    pub(crate) fn is_silent(&self, peer: &VmId) -> bool {
        let slot = self.slot(peer);
        let Ok(guard) = slot.try_lock() else {
            let opening = self.opening.lock().unwrap_or_else(PoisonError::into_inner);
            let since = opening.get(peer);
            return since.is_some_and(|since| since.elapsed() >= SILENCE_TIMEOUT);
        };
        guard
            .link()
            .is_some_and(|link| link.is_silent_for(SILENCE_TIMEOUT))
    }

    /// Reports whether the process of the peer has ended: nothing listened at its address at the last attempt.
    pub(crate) async fn has_ended(&self, peer: &VmId) -> bool {
        self.slot(peer).lock().await.was_refused
    }

    async fn open(&self, peer: &VmId, address: SocketAddr) -> Result<Link, LinkError> {
        let (secret, identity) = (&self.secret, &self.identity);
        let opened = wire::connect(address, secret, identity, &self.settings, &self.counters);
        match opened.await {
            Ok((link, _)) if link.peer().vm != *peer => {
                log::warn!("expected {peer} at {address}, found {}", link.peer().vm);
                Err(LinkError::Unauthenticated)
            }
            Ok((link, calls)) => {
                self.serve(calls);
                self.shared.record_dependency_answer(Dependency::Peer, peer);
                Ok(link)
            }
            Err(error) => {
                let problem = error.to_string();
                self.shared
                    .record_dependency_failure(Dependency::Peer, peer, &problem);
                Err(error)
            }
        }
    }

    /// Closes the link to a peer that did not answer a call, so that the next call opens a new one.
    pub(crate) async fn discard(&self, peer: &VmId) {
        if let Some(link) = self.slot(peer).lock().await.link.take() {
            link.close();
            let problem = "a call had no answer";
            self.shared
                .record_dependency_failure(Dependency::Peer, peer, problem);
        }
    }

    /// Accepts links until `stop` is cancelled.
    pub(crate) async fn accept(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        let (secret, identity, settings) = (
            self.secret.clone(),
            self.identity.clone(),
            self.settings.clone(),
        );
        let counters = Arc::clone(&self.counters);
        let mut listener = PeerListener::new(listener, secret, identity, settings, counters);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                (link, calls) = listener.accept() => self.add_accepted_link(link, calls),
            }
        }
    }

    /// Serves a link that the peer opened.
    ///
    /// The link is also used for calls to the peer if there is no other, and none is being opened.
    fn add_accepted_link(&self, link: Link, calls: IncomingMessages) {
        self.serve(calls);
        self.shared
            .record_dependency_answer(Dependency::Peer, &link.peer().vm);
        let slot = self.slot(&link.peer().vm);
        if let Ok(mut guard) = slot.try_lock()
            && guard.link().is_none()
        {
            guard.link = Some(link);
        }
    }

    fn serve(&self, calls: IncomingMessages) {
        let service = Arc::clone(&self.service);
        tokio::spawn(service.serve(calls));
    }

    fn slot(&self, peer: &VmId) -> Slot {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(peer.clone()).or_default())
    }
}

fn is_connection_refused(error: &LinkError) -> bool {
    matches!(error, LinkError::Io(error) if error.kind() == ErrorKind::ConnectionRefused)
}
