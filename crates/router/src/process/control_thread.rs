//! Starts the control thread.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::thread;
use std::thread::JoinHandle;

use anyhow::Context;
use anyhow::Result;
use membership::Agent;
use records::Log;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::sync::CancellationToken;
use wire::Secret;

use crate::DeclarationReads;
use crate::control::ControlLoop;
use crate::control::ControlMessage;
use crate::control::ControlParts;
use crate::control::ControlSender;
use crate::control::DatagramSocket;
use crate::control::LogWriter;
use crate::control::TraceWriter;
use crate::control::UpstreamControl;
use crate::handover::IncomingHandovers;
use crate::home::Home;
use crate::peer_client::PeerClient;
use crate::rollout::RolloutControl;
use crate::rollout::RolloutParts;
use crate::rollout::StatusWriter;
use crate::shared::Shared;

/// Components of the control thread, before it starts.
pub(crate) struct ControlThread {
    pub(crate) agent: Agent,
    pub(crate) handovers: Arc<IncomingHandovers>,
    pub(crate) control: ControlSender,
    pub(crate) cursor: Arc<AtomicU64>,
    pub(crate) declaration_reads: Option<Arc<dyn DeclarationReads>>,
    pub(crate) datagrams: std::net::UdpSocket,
    pub(crate) home: Arc<Home>,
    pub(crate) log: Arc<dyn Log>,
    pub(crate) trace_writer: Option<TraceWriter>,
    pub(crate) rx: UnboundedReceiver<ControlMessage>,
    pub(crate) secret: Secret,
    pub(crate) shared: Arc<Shared>,
    pub(crate) stopped: CancellationToken,
    pub(crate) peer_client: PeerClient,
    pub(crate) status_writer: Option<StatusWriter>,
    pub(crate) writer: LogWriter,
}

impl ControlThread {
    pub(crate) fn start(self) -> Result<JoinHandle<()>> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .context("the control thread cannot be started")?;
        let builder = thread::Builder::new().name("control".to_owned());
        let run = move || {
            let outcome = runtime.block_on(self.run());
            if let Err(error) = outcome {
                log::error!("the control thread ended: {error}");
            }
        };
        builder
            .spawn(run)
            .context("the control thread cannot be started")
    }

    async fn run(self) -> Result<()> {
        let socket = UdpSocket::from_std(self.datagrams)?;
        let rollouts = RolloutControl::new(RolloutParts {
            home: Arc::clone(&self.home),
            shared: Arc::clone(&self.shared),
            status_writer: self.status_writer,
        });
        let parts = ControlParts {
            agent: self.agent,
            handovers: self.handovers,
            cursor: self.cursor,
            declaration_reads: self.declaration_reads,
            datagrams: DatagramSocket::new(self.secret, Arc::clone(&self.shared), socket),
            home: self.home,
            log: self.log,
            trace_writer: self.trace_writer,
            shared: self.shared,
            stopped: self.stopped,
            peer_client: self.peer_client,
            rollouts,
            upstream: UpstreamControl::new(self.control),
            writer: self.writer,
        };
        ControlLoop::new(parts).run(self.rx).await;
        Ok(())
    }
}
