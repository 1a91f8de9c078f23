//! One link for each peer.

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

/// Time after a failed try in which no link to the peer is opened.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time that a call waits, without any frame from the peer, before a ping is sent.
const PING_INTERVAL: Duration = Duration::from_millis(150);

/// Time without any sign of a peer after which it counts as silent: two pings and their answers, also of a busy process.
pub(crate) const SILENT_AFTER: Duration = Duration::from_millis(400);

/// Time to open a link.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_000);

type Slot = Arc<tokio::sync::Mutex<PeerSlot>>;

/// The link to one peer.
#[derive(Debug, Default)]
struct PeerSlot {
    /// Time of the last try, if it failed.
    failed: Option<Instant>,
    /// Whether nothing listened at the peer's address at the last try.
    is_gone: bool,
    link: Option<Link>,
}

impl PeerSlot {
    fn link(&self) -> Option<Link> {
        self.link.clone().filter(|link| !link.is_closed())
    }

    fn failed_recently(&self) -> bool {
        self.failed
            .is_some_and(|failed| failed.elapsed() < RETRY_PAUSE)
    }
}

/// Opens links when they are needed, and serves the calls of peers on all of them.
pub(crate) struct LinkPool {
    counters: Arc<DropCounters>,
    me: Identity,
    /// When the opening of a link began, for peers whose slots are locked by it.
    opening: Mutex<BTreeMap<VmId, Instant>>,
    secret: Secret,
    service: Arc<PeerService>,
    settings: LinkSettings,
    shared: Arc<Shared>,
    slots: Mutex<BTreeMap<VmId, Slot>>,
}

impl LinkPool {
    pub(crate) fn new(
        me: Identity,
        secret: Secret,
        service: Arc<PeerService>,
        shared: Arc<Shared>,
    ) -> Self {
        Self {
            counters: Arc::default(),
            me,
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

    /// Returns the link to a peer, which is opened when there is none and the last try is not recent.
    pub(crate) async fn link(&self, peer: &VmId, address: SocketAddr) -> Option<Link> {
        let slot = self.slot(peer);
        let mut present = slot.lock().await;
        if let Some(link) = present.link() {
            return Some(link);
        }
        if present.failed_recently() {
            return None;
        }
        self.note_opening(peer);
        let opened = self.open(peer, address).await;
        present.is_gone = opened.as_ref().is_err_and(is_refusal);
        present.link = opened.ok();
        present.failed = present.link.is_none().then(Instant::now);
        present.link.clone()
    }

    fn note_opening(&self, peer: &VmId) {
        let mut opening = self.opening.lock().unwrap_or_else(PoisonError::into_inner);
        opening.insert(peer.clone(), Instant::now());
    }

    /// Tells whether a peer gives no sign, so that calls to it may wait in vain: its link is silent, or does not open.
    pub(crate) fn is_silent(&self, peer: &VmId) -> bool {
        let slot = self.slot(peer);
        let Ok(present) = slot.try_lock() else {
            let opening = self.opening.lock().unwrap_or_else(PoisonError::into_inner);
            let since = opening.get(peer);
            return since.is_some_and(|since| since.elapsed() >= SILENT_AFTER);
        };
        present
            .link()
            .is_some_and(|link| link.is_silent_for(SILENT_AFTER))
    }

    /// Tells whether nothing listened at the peer's address when a link was last tried: its process has ended.
    pub(crate) async fn is_gone(&self, peer: &VmId) -> bool {
        self.slot(peer).lock().await.is_gone
    }

    async fn open(&self, peer: &VmId, address: SocketAddr) -> Result<Link, LinkError> {
        let (secret, me) = (&self.secret, &self.me);
        let opened = wire::connect(address, secret, me, &self.settings, &self.counters);
        match opened.await {
            Ok((link, _)) if link.peer().vm != *peer => {
                log::warn!("{address} is {}, not {peer}", link.peer().vm);
                Err(LinkError::Unauthenticated)
            }
            Ok((link, calls)) => {
                self.serve(calls);
                self.shared.regained(Dependency::Peer, peer);
                Ok(link)
            }
            Err(error) => {
                let problem = error.to_string();
                self.shared.lost(Dependency::Peer, peer, &problem);
                Err(error)
            }
        }
    }

    /// Closes the link to a peer that gave no answer, so that the next call opens a new one.
    pub(crate) async fn discard(&self, peer: &VmId) {
        if let Some(link) = self.slot(peer).lock().await.link.take() {
            link.close();
            let problem = "a call had no answer";
            self.shared.lost(Dependency::Peer, peer, problem);
        }
    }

    /// Accepts links until `stop` is cancelled.
    pub(crate) async fn accept(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        let (secret, me, settings) = (self.secret.clone(), self.me.clone(), self.settings.clone());
        let counters = Arc::clone(&self.counters);
        let mut listener = PeerListener::new(listener, secret, me, settings, counters);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                (link, calls) = listener.accept() => self.welcome(link, calls),
            }
        }
    }

    /// Serves a link that the peer opened. It is used for calls to the peer only where none is being opened.
    fn welcome(&self, link: Link, calls: IncomingMessages) {
        self.serve(calls);
        self.shared.regained(Dependency::Peer, &link.peer().vm);
        let slot = self.slot(&link.peer().vm);
        if let Ok(mut present) = slot.try_lock()
            && present.link().is_none()
        {
            present.link = Some(link);
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

fn is_refusal(error: &LinkError) -> bool {
    matches!(error, LinkError::Io(error) if error.kind() == ErrorKind::ConnectionRefused)
}
