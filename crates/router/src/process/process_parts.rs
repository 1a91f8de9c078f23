//! Creates the components of the process and starts its threads and servers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::thread::JoinHandle;

use anyhow::Context;
use anyhow::Result;
use httpd::Handler;
use membership::Agent;
use membership::AgentSettings;
use records::HttpLog;
use records::Log;
use telemetry::LineWriter;
use telemetry::Metrics;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::unbounded_channel;
use tokio_util::sync::CancellationToken;
use upstream::Dialect;
use wire::Identity;
use wire::Secret;

use crate::DeclarationSink;
use crate::Environment;
use crate::Settings;
use crate::announce_service::AnnounceService;
use crate::check_in_service::CheckInService;
use crate::control::ControlMessage;
use crate::control::ControlSender;
use crate::control::LogReader;
use crate::control::LogWriter;
use crate::control::TraceWriter;
use crate::departures::Departures;
use crate::entry::Acknowledgments;
use crate::entry::CallerService;
use crate::entry::HomeClient;
use crate::entry::KeyedRouter;
use crate::entry::KeylessRouter;
use crate::entry::TrafficSplits;
use crate::entry::TrialCredits;
use crate::handover::IncomingHandovers;
use crate::home::Home;
use crate::limits::Buckets;
use crate::limits::WorkspaceLimiters;
use crate::links::LinkPool;
use crate::links::PeerService;
use crate::operator::MetricsService;
use crate::operator::OperatorService;
use crate::peer_client::PeerClient;
use crate::process::control_thread::ControlThread;
use crate::process::listeners::Listeners;
use crate::rollout::StatusWriter;
use crate::shared::Shared;

/// Maximum number of open connections for each of the interfaces for operators, metrics and the local upstream.
const MAX_LOCAL_CONNECTIONS: usize = 64;

/// Components of the process, before its threads start.
pub(crate) struct ProcessParts {
    pub(crate) agent: Agent,
    pub(crate) handovers: Arc<IncomingHandovers>,
    pub(crate) buckets: Arc<Buckets>,
    pub(crate) control: ControlSender,
    pub(crate) environment: Option<Arc<dyn Environment>>,
    pub(crate) home: Arc<Home>,
    /// Writer of log lines.
    pub(crate) line_writer: LineWriter,
    pub(crate) links: Arc<LinkPool>,
    pub(crate) rx: UnboundedReceiver<ControlMessage>,
    pub(crate) secret: Secret,
    pub(crate) shared: Arc<Shared>,
    /// Random number that is the incarnation of this process and the seed of its random choices.
    pub(crate) seed: u64,
    pub(crate) stopped: CancellationToken,
}

impl ProcessParts {
    pub(crate) fn new(
        settings: &Settings,
        environment: Option<Arc<dyn Environment>>,
        line_writer: LineWriter,
    ) -> Result<Self> {
        let secret = settings.secret()?;
        let seed = rand::random();
        let agent = Agent::new(AgentSettings {
            evacuation_timeout: settings.limits.evacuation_timeout,
            lease: settings.lease(),
            load_tolerance: settings.policy.load_tolerance(),
            log_wait: settings.log.read_wait(),
            peer: settings.addresses.peer,
            places_by_cost: settings.policy.places_by_cost(),
            region: settings.region.clone(),
            retention: settings.log.retention(),
            rollouts_enabled: settings.rollout.is_some(),
            seed,
            shards_per_member: settings.policy.shards_per_member,
            stop_timeout: settings.limits.move_timeout(),
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
        });
        let metrics = metrics(settings)?;
        let dialect = environment
            .as_ref()
            .map_or_else(Dialect::default, |environment| environment.dialect());
        let shared = Shared::new(dialect, metrics, settings, &agent);
        let shared = Arc::new(shared);
        let (tx, rx) = unbounded_channel();
        let control = ControlSender::new(tx);
        let handovers = Arc::new(IncomingHandovers::default());
        let home = Home::new(Arc::clone(&handovers), control.clone(), Arc::clone(&shared));
        let home = Arc::new(home);
        let buckets = Arc::new(Buckets::new(Arc::clone(&handovers), Arc::clone(&shared)));
        let service = Arc::new(PeerService {
            calls: Arc::default(),
            handovers: Arc::clone(&handovers),
            buckets: Arc::clone(&buckets),
            home: Arc::clone(&home),
            shared: Arc::clone(&shared),
        });
        let me = Identity {
            incarnation: seed,
            vm: settings.vm.clone(),
        };
        let links = LinkPool::new(me, secret.clone(), service, Arc::clone(&shared));
        let links = Arc::new(links);
        Ok(Self {
            agent,
            handovers,
            buckets,
            control,
            environment,
            home,
            line_writer,
            links,
            rx,
            secret,
            shared,
            seed,
            stopped: CancellationToken::new(),
        })
    }

    /// Starts all threads and servers. The returned future completes once the last responses to callers have been sent.
    pub(crate) fn start(
        self,
        settings: &Settings,
        listeners: Listeners,
        stop: &CancellationToken,
    ) -> Result<(impl Future<Output = Result<()>>, JoinHandle<()>)> {
        let log = self.log(settings);
        let sink = DeclarationSink::new(self.control.clone(), Arc::clone(&self.shared));
        let environment = self.environment.as_ref();
        let declaration_reads = environment
            .map(|environment| environment.watch_declarations(sink))
            .transpose()?;
        let cursor = Arc::new(AtomicU64::new(1));
        LogReader::start(
            self.control.clone(),
            Arc::clone(&cursor),
            Arc::clone(&log),
            Arc::clone(&self.shared),
            settings.log.read_pacing(),
            settings.log.read_wait(),
        )?;
        let writer = LogWriter::start(
            Arc::clone(&log),
            settings.log.append_limits(),
            Arc::clone(&self.shared),
            self.control.clone(),
        )?;
        let status_writer = self.environment.clone().map(|environment| {
            let (control, shared) = (self.control.clone(), Arc::clone(&self.shared));
            StatusWriter::start(environment, control, shared)
        });
        let status_writer = status_writer.transpose()?;
        if let Some(listener) = listeners.metrics {
            spawn_local_server(listener, self.metrics_service(), stop);
        }
        let serving = self.serve(
            settings,
            listeners.announce,
            listeners.caller,
            listeners.operator,
            stop,
        );
        tokio::spawn(Arc::clone(&self.links).accept(listeners.peer, stop.clone()));
        tokio::spawn(Arc::clone(&self.home).maintain_queue());
        let trace_writer = settings
            .trace_file
            .as_deref()
            .map(TraceWriter::create)
            .transpose()?;
        let peer_client = PeerClient {
            buckets: Arc::clone(&self.buckets),
            control: self.control.clone(),
            home: Arc::clone(&self.home),
            links: Arc::clone(&self.links),
            runtime: Handle::current(),
            writer: writer.clone(),
        };
        let thread = ControlThread {
            agent: self.agent,
            handovers: self.handovers,
            control: self.control,
            cursor,
            declaration_reads,
            datagrams: listeners.datagrams,
            home: self.home,
            log,
            trace_writer,
            rx: self.rx,
            secret: self.secret,
            shared: self.shared,
            stopped: self.stopped,
            peer_client,
            status_writer,
            writer,
        };
        Ok((serving, thread.start()?))
    }

    fn serve(
        &self,
        settings: &Settings,
        announce: TcpListener,
        caller: TcpListener,
        operator: TcpListener,
        stop: &CancellationToken,
    ) -> impl Future<Output = Result<()>> + use<> {
        match &self.environment {
            Some(environment) => {
                spawn_local_server(announce, self.check_in_service(environment), stop);
            }
            None => spawn_local_server(announce, self.announce_service(), stop),
        }
        spawn_local_server(operator, self.operator_service(), stop);
        let limits = caller_limits(settings);
        let callers = httpd::serve(
            caller,
            limits,
            Arc::new(self.caller_service()),
            stop.clone(),
        );
        let callers = tokio::spawn(callers);
        async move {
            callers
                .await
                .context("the server for callers panicked: see the log above")
        }
    }

    fn log(&self, settings: &Settings) -> Arc<dyn Log> {
        match &self.environment {
            Some(environment) => environment.log(),
            None => Arc::new(HttpLog::new(
                settings.log.addresses.clone(),
                settings.log.timeout(),
            )),
        }
    }

    fn check_in_service(&self, environment: &Arc<dyn Environment>) -> CheckInService {
        CheckInService {
            control: self.control.clone(),
            environment: Arc::clone(environment),
            home: Arc::clone(&self.home),
            departures: Departures::default(),
            last_problem: Mutex::default(),
            next_id: AtomicU64::new(0),
            shared: Arc::clone(&self.shared),
        }
    }

    fn announce_service(&self) -> AnnounceService {
        AnnounceService {
            control: self.control.clone(),
            shared: Arc::clone(&self.shared),
        }
    }

    fn metrics_service(&self) -> MetricsService {
        MetricsService {
            line_writer: self.line_writer.clone(),
            shared: Arc::clone(&self.shared),
        }
    }

    fn operator_service(&self) -> OperatorService {
        OperatorService {
            home: Arc::clone(&self.home),
            links: Arc::clone(&self.links),
            shared: Arc::clone(&self.shared),
        }
    }

    fn caller_service(&self) -> CallerService {
        let acknowledgments = Arc::new(Acknowledgments::default());
        let home_client = Arc::new(HomeClient {
            acknowledgments: Arc::clone(&acknowledgments),
            home: Arc::clone(&self.home),
            links: Arc::clone(&self.links),
            shared: Arc::clone(&self.shared),
        });
        let limiters = WorkspaceLimiters::new(
            Arc::clone(&self.buckets),
            Arc::clone(&self.links),
            Arc::clone(&self.shared),
            self.seed,
        );
        let limiters = Arc::new(limiters);
        tokio::spawn(async move { acknowledgments.run().await });
        tokio::spawn(Arc::clone(&limiters).run());
        CallerService {
            home: Arc::clone(&self.home),
            keyed_router: KeyedRouter {
                home_client: Arc::clone(&home_client),
                trial_credits: TrialCredits::default(),
            },
            keyless_router: KeylessRouter::new(home_client, self.seed),
            limiters,
            refusals: Mutex::default(),
            shared: Arc::clone(&self.shared),
            traffic_splits: TrafficSplits::default(),
        }
    }
}

fn metrics(settings: &Settings) -> Result<Metrics> {
    let metrics = Metrics::new()?;
    match &settings.metrics {
        Some(cfg) => metrics.with_statsd(cfg.statsd, &cfg.prefix, &settings.vm),
        None => Ok(metrics),
    }
}

fn spawn_local_server<H: Handler>(listener: TcpListener, handler: H, stop: &CancellationToken) {
    let limits = httpd::Limits {
        connections: MAX_LOCAL_CONNECTIONS,
        ..httpd::Limits::default()
    };
    tokio::spawn(httpd::serve(
        listener,
        limits,
        Arc::new(handler),
        stop.clone(),
    ));
}

fn caller_limits(settings: &Settings) -> httpd::Limits {
    let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    let limits = &settings.limits;
    httpd::Limits {
        body_bytes: size(limits.upload_bytes),
        connections: size(limits.caller_connections),
        header_bytes: size(limits.header_bytes),
        header_timeout: limits.header_timeout(),
        request_timeout: limits.request_timeout(),
        ..httpd::Limits::default()
    }
}
