//! State that all threads of the process share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use cluster::Fleet;
use ids::ServiceId;
use ids::VmId;
use ids::ZoneId;
use membership::Agent;
use policy::Pacing;
use upstream::Dialect;

use crate::RateTolerance;
use crate::Settings;
use crate::clock::Clock;
use crate::control_traffic::ControlTraffic;
use crate::decisions::Recent;
use crate::lease::Lease;
use crate::metrics::Metrics;
use crate::record_store::RecordStore;
use crate::settings::Limits;
use crate::settings::PolicySettings;
use crate::view::View;

/// State that all threads of the process share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) control_traffic: ControlTraffic,
    pub(crate) caller_service: Option<ServiceId>,
    pub(crate) decisions: Recent,
    pub(crate) dialect: Arc<Dialect>,
    pub(crate) lease: Lease,
    pub(crate) limits: Limits,
    pub(crate) metrics: Metrics,
    pub(crate) policy: PolicySettings,
    pub(crate) rate_tolerance: Option<RateTolerance>,
    pub(crate) records: RecordStore,
    pub(crate) vm: VmId,
    pub(crate) zone: ZoneId,
    stopping: AtomicBool,
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
            first_hand: false,
            fleet: Arc::new(Fleet::default()),
            informed: false,
            run_until: None,
            serving: Arc::default(),
            status: Arc::new(agent.status(Duration::ZERO)),
            upstream: None,
        };
        Self {
            clock: Clock::new(),
            control_traffic: ControlTraffic::default(),
            caller_service: settings.caller_service.clone(),
            decisions: Recent::new(
                usize::try_from(settings.limits.kept_decisions).unwrap_or(usize::MAX),
            ),
            dialect: Arc::new(dialect),
            lease: Lease::default(),
            limits: settings.limits.clone(),
            metrics,
            policy: settings.policy.clone(),
            rate_tolerance: settings.rate_tolerance.clone(),
            records: RecordStore::default(),
            stopping: AtomicBool::new(false),
            view: ArcSwap::from_pointee(view),
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
        }
    }

    /// Returns how long tokens are held. A tolerance leaves room for tokens that entries hold for longer.
    pub(crate) fn pacing(&self) -> Pacing {
        match &self.rate_tolerance {
            Some(_) => Pacing::RELAXED,
            None => Pacing::default(),
        }
    }

    /// Returns the present view.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Replaces the view.
    pub(crate) fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// Tells whether a graceful stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Begins a graceful stop.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }
}
