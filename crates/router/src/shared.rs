//! State that all threads of the process share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use cluster::Fleet;
use ids::ServiceId;
use ids::VmId;
use ids::ZoneId;
use membership::Agent;
use policy::GracefulStop;
use policy::TokenTiming;
use telemetry::DecisionDetails;
use telemetry::DecisionLog;
use telemetry::Dependency;
use telemetry::DependencyTracker;
use telemetry::EventLine;
use telemetry::JSON_LINE_TARGET;
use telemetry::Metrics;
use telemetry::ProcessEvent;
use telemetry::RequestDecision;
use telemetry::Step;
use telemetry::ViewSummary;
use upstream::Dialect;

use crate::RateTolerance;
use crate::Settings;
use crate::clock::Clock;
use crate::clock::milliseconds;
use crate::clock::unix_ms;
use crate::control_traffic::ControlTraffic;
use crate::lease::Lease;
use crate::record_store::RecordStore;
use crate::rollout::RolloutStatus;
use crate::settings::Limits;
use crate::settings::PolicySettings;
use crate::settings::RolloutSettings;
use crate::view::View;

/// State that all threads of the process share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) control_traffic: ControlTraffic,
    pub(crate) caller_service: Option<ServiceId>,
    pub(crate) decisions: DecisionLog,
    dependencies: DependencyTracker,
    pub(crate) dialect: Arc<Dialect>,
    pub(crate) lease: Lease,
    pub(crate) limits: Limits,
    /// Problems of the newest operator declarations.
    invalid_declarations: Mutex<Vec<String>>,
    /// Time on the process clock at which the log, or a peer in its place, last answered a read, in milliseconds.
    last_log_read_ms: AtomicU64,
    pub(crate) metrics: Metrics,
    pub(crate) policy: PolicySettings,
    pub(crate) rate_tolerance: Option<RateTolerance>,
    pub(crate) records: RecordStore,
    /// Bounds of version roll-outs, `None` if orders of roll-outs are not supported.
    pub(crate) rollout: Option<RolloutSettings>,
    /// State of roll-outs, for operators.
    rollout_statuses: Mutex<Vec<RolloutStatus>>,
    pub(crate) vm: VmId,
    pub(crate) zone: ZoneId,
    /// The graceful stop, once it has begun.
    stop: OnceLock<GracefulStop>,
    view: ArcSwap<View>,
}

impl Shared {
    pub(crate) fn new(
        dialect: Dialect,
        metrics: Metrics,
        settings: &Settings,
        agent: &Agent,
    ) -> Self {
        let view = View {
            can_answer_pulls: false,
            declarations_until: None,
            fleet: Arc::new(Fleet::default()),
            is_informed: false,
            is_up_to_date: false,
            lacks_declarations: false,
            pending_zones: Arc::default(),
            request_deadline: None,
            rollout_starts_until: None,
            rollouts: Arc::default(),
            serving: Arc::default(),
            starts_until: None,
            status: Arc::new(agent.status(Duration::ZERO)),
            upstream: None,
        };
        Self {
            clock: Clock::new(),
            control_traffic: ControlTraffic::default(),
            caller_service: settings.caller_service.clone(),
            decisions: DecisionLog::new(
                settings.logging.requests,
                settings.logging.sample_one_in,
                usize::try_from(settings.limits.kept_decisions).unwrap_or(usize::MAX),
            ),
            dependencies: DependencyTracker::default(),
            dialect: Arc::new(dialect),
            invalid_declarations: Mutex::default(),
            lease: Lease::default(),
            limits: settings.limits.clone(),
            last_log_read_ms: AtomicU64::new(0),
            metrics,
            policy: settings.policy.clone(),
            rate_tolerance: settings.rate_tolerance.clone(),
            records: RecordStore::default(),
            rollout: settings.rollout.clone(),
            rollout_statuses: Mutex::default(),
            stop: OnceLock::new(),
            view: ArcSwap::from_pointee(view),
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
        }
    }

    /// Returns how long entries may hold tokens. With a rate tolerance, they may hold them longer.
    pub(crate) fn token_timing(&self) -> TokenTiming {
        match &self.rate_tolerance {
            Some(_) => TokenTiming::RELAXED,
            None => TokenTiming::default(),
        }
    }

    /// Returns the current view.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Replaces the view.
    pub(crate) fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// Reports whether a graceful stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Begins a graceful stop.
    pub(crate) fn stop(&self) {
        let stop = GracefulStop {
            started: self.clock.now(),
            timeout: self.limits.stop_timeout(),
        };
        self.stop.get_or_init(|| stop);
    }

    /// Reports whether a request whose caller waits until `deadline` may start in view of a graceful stop.
    pub(crate) fn may_start(&self, now: Duration, deadline: Duration) -> bool {
        let stop = self.stop.get();
        stop.is_none_or(|stop| stop.admits(now, deadline))
    }

    /// Returns a decision of this process about a request, without its details.
    pub(crate) fn decision(&self, step: Step, request_id: &str, reason: &str) -> RequestDecision {
        RequestDecision {
            details: DecisionDetails::default(),
            fence: None,
            reason: reason.to_owned(),
            request_id: request_id.to_owned(),
            service: None,
            step,
            time_unix_ms: unix_ms(),
            to: None,
            unit: None,
            view: None,
            vm: self.vm.clone(),
            workspace: None,
        }
    }

    /// Returns a summary of this process's view of the fleet.
    pub(crate) fn summarize_view(&self) -> ViewSummary {
        let view = self.view();
        let last_read = Duration::from_millis(self.last_log_read_ms.load(Ordering::Relaxed));
        let now = self.clock.now();
        let declarations_until = view.declarations_until;
        ViewSummary {
            declarations_known_ms_ago: declarations_until
                .map(|until| milliseconds(now.saturating_sub(until))),
            informed: view.is_informed,
            log_next: view.fleet.next_offset(),
            log_read_ms_ago: milliseconds(now.saturating_sub(last_read)),
            revision: view.fleet.revision(),
        }
    }

    /// Records that the log, or a peer in its place, answered a read.
    pub(crate) fn record_log_read(&self) {
        let now = milliseconds(self.clock.now());
        self.last_log_read_ms.store(now, Ordering::Relaxed);
    }

    /// Replaces the problems of the newest operator declarations, and logs them if they have changed.
    pub(crate) fn record_invalid_declarations(&self, problems: Vec<String>) {
        let mut current = self.lock_invalid_declarations();
        if *current == problems {
            return;
        }
        let event = if problems.is_empty() {
            ProcessEvent::DeclarationsAccepted
        } else {
            self.metrics.count_event("declarations", "invalid");
            let problem = problems.join("; ");
            ProcessEvent::DeclarationsInvalid { problem }
        };
        *current = problems;
        drop(current);
        self.log_event(event);
    }

    /// Returns the problems of the newest operator declarations.
    pub(crate) fn invalid_declarations(&self) -> Vec<String> {
        self.lock_invalid_declarations().clone()
    }

    /// Replaces the state of roll-outs for operators.
    pub(crate) fn set_rollout_statuses(&self, statuses: Vec<RolloutStatus>) {
        *self.lock_rollout_statuses() = statuses;
    }

    /// Returns the state of roll-outs for operators.
    pub(crate) fn rollout_statuses(&self) -> Vec<RolloutStatus> {
        self.lock_rollout_statuses().clone()
    }

    fn lock_rollout_statuses(&self) -> MutexGuard<'_, Vec<RolloutStatus>> {
        let statuses = self.rollout_statuses.lock();
        statuses.unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_invalid_declarations(&self) -> MutexGuard<'_, Vec<String>> {
        let problems = self.invalid_declarations.lock();
        problems.unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs an event of the process.
    pub(crate) fn log_event(&self, event: ProcessEvent) {
        let line = EventLine {
            event,
            time_unix_ms: unix_ms(),
            vm: self.vm.clone(),
        };
        log::info!(target: JSON_LINE_TARGET, "{}", line.to_json());
    }

    /// Records that a dependency of this process does not answer.
    pub(crate) fn record_dependency_failure(
        &self,
        dependency: Dependency,
        name: &str,
        problem: &str,
    ) {
        self.metrics.count_event(dependency.as_str(), "failed");
        let now = self.clock.now();
        if let Some(event) = self
            .dependencies
            .record_lost(now, dependency, name, problem)
        {
            self.log_event(event);
        }
    }

    /// Records that a dependency of this process answers.
    pub(crate) fn record_dependency_answer(&self, dependency: Dependency, name: &str) {
        self.metrics.count_event(dependency.as_str(), "answered");
        let now = self.clock.now();
        if let Some(event) = self.dependencies.record_regained(now, dependency, name) {
            self.log_event(event);
        }
    }

    /// Returns the number of dependencies of a kind that do not answer.
    pub(crate) fn count_unavailable(&self, dependency: Dependency) -> usize {
        self.dependencies.count_lost(dependency)
    }
}
