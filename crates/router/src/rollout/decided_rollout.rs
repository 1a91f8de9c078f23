//! A roll-out that this process decides on.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::Fleet;
use cluster::Member;
use cluster::Rollout;
use cluster::RolloutState;
use ids::Incarnation;
use ids::Offset;
use ids::ServiceId;
use ids::Unit;
use ids::VmId;
use policy::LATENCY_BUCKETS;
use policy::LatencyHistogram;
use policy::OldMember;
use policy::RolloutDecider;
use policy::RolloutDecision;
use policy::RolloutJudge;
use policy::RolloutPhase;
use policy::RolloutSchedule;
use policy::RolloutView;
use policy::RouteEvidence;
use policy::RouteSummary;
use policy::UpstreamEvidence;
use policy::VersionGroup;
use wire::RolloutReport;
use wire::RolloutRoute;

use crate::rollout::member_report::MemberReport;

/// A roll-out that this process decides on, with the evidence that homes have reported.
#[derive(Debug)]
pub(crate) struct DecidedRollout {
    decider: RolloutDecider,
    judge: RolloutJudge,
    /// Incarnation of each member of the service, and when this process first saw it.
    members: BTreeMap<VmId, (Incarnation, Duration)>,
    pub(crate) position: Offset,
    reports: BTreeMap<VmId, MemberReport>,
    service: ServiceId,
}

impl DecidedRollout {
    pub(crate) fn new(service: &ServiceId, position: Offset, schedule: RolloutSchedule) -> Self {
        Self {
            decider: RolloutDecider::new(schedule),
            judge: RolloutJudge::default(),
            members: BTreeMap::new(),
            position,
            reports: BTreeMap::new(),
            service: service.clone(),
        }
    }

    /// Records the report of a home. Reports that are older than the last one of the home are dropped, since their counts
    /// would be taken for those of another upstream.
    pub(crate) fn record(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        rollout: &Rollout,
        report: &RolloutReport,
    ) {
        let member = fleet.members().get(&report.vm);
        let Some(member) = member.filter(|member| {
            member.incarnation == report.incarnation && member.join.service == self.service
        }) else {
            return;
        };
        let last = self.reports.get(&report.vm);
        let is_late = last.is_some_and(|last| {
            last.incarnation == report.incarnation && last.sequence >= report.sequence
        });
        if is_late {
            return;
        }
        let received = MemberReport {
            has_read_promoted: report.has_read_promoted,
            incarnation: report.incarnation,
            is_idle: report.idle,
            received_at: now,
            sequence: report.sequence,
        };
        self.reports.insert(report.vm.clone(), received);
        let evidence = UpstreamEvidence {
            routes: report.routes.iter().map(route_evidence).collect(),
        };
        let group = match member.join.version == rollout.order.target_version {
            true => VersionGroup::Trial,
            false => VersionGroup::Current,
        };
        self.judge.record(now, &report.vm, group, &evidence);
    }

    /// Returns the next step of the roll-out.
    pub(crate) fn decide(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        rollout: &Rollout,
        since_order: Duration,
        since_promoted: Duration,
    ) -> RolloutDecision {
        let members = || {
            let members = fleet.members().values();
            members.filter(|member| member.join.service == self.service)
        };
        // A member that has just joined may serve requests before its first report. It does not count as lost.
        let known_members: BTreeMap<VmId, (Incarnation, Duration)> = members()
            .map(|member| {
                let vm = &member.join.vm;
                let known = self.members.get(vm).copied();
                let known = known.filter(|(incarnation, _)| *incarnation == member.incarnation);
                (vm.clone(), known.unwrap_or((member.incarnation, now)))
            })
            .collect();
        self.members = known_members;
        let is_target = |member: &&Member| member.join.version == rollout.order.target_version;
        let old_members = members().filter(|member| !is_target(member));
        let old_members = old_members.map(|member| self.old_member(now, fleet, member));
        let service_config = fleet.plans().services.get(&self.service);
        let view = RolloutView {
            has_keys: service_config.is_some_and(|service_config| service_config.is_keyed()),
            has_trial_upstream: members().any(|member| is_target(&member)),
            old_members: old_members.collect(),
            phase: match rollout.state {
                RolloutState::Promoting => RolloutPhase::Promoting { since_promoted },
                _ => RolloutPhase::Trial,
            },
            since_order,
            verdict: self.judge.verdict(now),
        };
        self.decider.decide(&view)
    }

    fn old_member(&self, now: Duration, fleet: &Fleet, member: &Member) -> OldMember {
        let report = self.reports.get(&member.join.vm);
        let report = report.filter(|report| report.incarnation == member.incarnation);
        let first_seen = self.members.get(&member.join.vm);
        let first_seen = first_seen.map_or(now, |(_, first_seen)| *first_seen);
        let mut units = fleet.units_of(&member.join.vm).map(|(unit, _)| unit);
        OldMember {
            is_idle: report.is_some_and(|report| report.is_idle && report.has_read_promoted),
            owns_units: units.any(|unit| !matches!(unit, Unit::Bucket { .. })),
            report_age: now.saturating_sub(report.map_or(first_seen, |report| report.received_at)),
        }
    }

    /// Returns the evidence by route.
    pub(crate) fn summaries(&self) -> Vec<RouteSummary> {
        self.judge.summaries()
    }

    /// Returns the age of the last report of each home.
    pub(crate) fn report_ages(&self, now: Duration) -> BTreeMap<VmId, Duration> {
        let reports = self.reports.iter();
        reports
            .map(|(vm, report)| (vm.clone(), now.saturating_sub(report.received_at)))
            .collect()
    }
}

fn route_evidence(route: &RolloutRoute) -> (String, RouteEvidence) {
    let mut counts = [0; LATENCY_BUCKETS];
    for (count, reported) in counts.iter_mut().zip(&route.buckets) {
        *count = *reported;
    }
    let evidence = RouteEvidence {
        answers: route.answers,
        failures: route.failures,
        latencies: LatencyHistogram::from_counts(counts),
    };
    (route.name.clone(), evidence)
}
