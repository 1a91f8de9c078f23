//! The HTTP interface for a local upstream that polls its grants.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cluster::UnitFence;
use config::KeyRange;
use config::Service;
use http::Request;
use http::Response;
use http::StatusCode;
use httpd::Handler;
use httpd::RefusalReason;
use ids::ServiceId;
use ids::Unit;
use membership::Announcement;
use membership::CheckIn;
use membership::CheckInAnswer;
use membership::CheckInRejection;
use membership::Event;
use serde_json::json;
use telemetry::Dependency;

use crate::Environment;
use crate::RangeGrant;
use crate::UpstreamCheckIn;
use crate::UpstreamGrants;
use crate::UpstreamMessage;
use crate::clock::unix_ms;
use crate::control::ControlSender;
use crate::departures::Departures;
use crate::home::Home;
use crate::json_response::json_response;
use crate::shared::Shared;

/// Time after which a check-in is answered without grants if the control thread has not answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of connections that an upstream accepts if its service does not declare one.
const DEFAULT_CONNECTIONS: u32 = 64;

/// Maximum length of the ranges in one answer, in bytes. Upstreams do not accept longer ones.
const MAX_RANGES_BYTES: usize = 4_000;

/// Length of a range in an answer, without the digits of its numbers and its handover, in bytes.
const RANGE_OVERHEAD_BYTES: usize = 8;

/// Receives check-ins of the local upstream, and answers them with its grants.
pub(crate) struct CheckInService {
    pub(crate) control: ControlSender,
    pub(crate) environment: Arc<dyn Environment>,
    pub(crate) home: Arc<Home>,
    pub(crate) departures: Departures,
    /// Problem of the last invalid message.
    pub(crate) last_problem: Mutex<String>,
    pub(crate) next_id: AtomicU64,
    pub(crate) shared: Arc<Shared>,
}

impl Handler for CheckInService {
    async fn handle(&self, req: Request<Bytes>) -> Response<Bytes> {
        match self.environment.parse_message(&req) {
            Ok(UpstreamMessage::Left { instance }) => {
                self.record_leave(&instance);
                self.environment.build_response(None)
            }
            Ok(UpstreamMessage::CheckIn(check_in)) => self.handle_check_in(check_in).await,
            Err(problem) => self.refuse_invalid("invalid", &problem),
        }
    }

    fn refuse(&self, reason: RefusalReason) -> Response<Bytes> {
        json_response(
            StatusCode::BAD_REQUEST,
            &json!({ "error": reason.to_string() }),
        )
    }
}

impl CheckInService {
    /// Refuses an invalid message, and logs its problem unless the last one had the same.
    fn refuse_invalid(&self, reason: &str, problem: &str) -> Response<Bytes> {
        self.shared.metrics.count_event("check-in", reason);
        let last = self.last_problem.lock();
        let mut last = last.unwrap_or_else(PoisonError::into_inner);
        if *last != problem {
            log::warn!("invalid check-in, which has no effect: {problem}");
            problem.clone_into(&mut last);
        }
        json_response(StatusCode::BAD_REQUEST, &json!({ "error": problem }))
    }

    fn refuse_undeclared(&self, service: &ServiceId) -> Response<Bytes> {
        let reason = CheckInRejection::UndeclaredService.as_str();
        let remedy = "declare it, or correct the name";
        let problem = format!("no manifest declares the service `{service}`: {remedy}");
        self.refuse_invalid(reason, &problem)
    }

    /// Records that the upstream has left or is about to leave. Only the accepted one gets requests.
    fn record_leave(&self, instance: &str) {
        let now = self.shared.clock.now();
        self.departures.record(instance, now, unix_ms());
        let view = self.shared.view();
        let Some(upstream) = view
            .upstream
            .as_ref()
            .filter(|upstream| upstream.instance == instance)
        else {
            return;
        };
        let process = upstream.process();
        self.home.record_stopping(process.clone(), now);
        self.control.send_event(Event::UpstreamLeft { process });
    }

    async fn handle_check_in(&self, check_in: UpstreamCheckIn) -> Response<Bytes> {
        let service = check_in.service.clone();
        let mut agent_check_in = self.build_check_in(check_in);
        let process = agent_check_in.announcement.process();
        let departed_at = self.departures.time_of(&process);
        let arrived_at = self.shared.clock.now();
        let stopping_since = departed_at.or(agent_check_in.draining.then_some(arrived_at));
        // A check-in that was sent before the upstream announced its stop elsewhere may arrive later.
        agent_check_in.draining |= stopping_since.is_some() || self.home.is_stopping(&process);
        let held = agent_check_in.held.iter().flatten();
        let held: BTreeSet<UnitFence> = held.cloned().collect();
        let answer = self.control.check_in(agent_check_in);
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
        let answer = answered.ok().flatten();
        let rejection = answer.as_ref().and_then(|answer| answer.rejection);
        if rejection == Some(CheckInRejection::UndeclaredService) {
            return self.refuse_undeclared(&service);
        }
        // The response acknowledges the stop of this process of the upstream, whether or not it is the accepted one.
        if let Some(since) = stopping_since {
            self.home.record_stopping(process, since);
        }
        if rejection.is_none() {
            self.shared
                .record_dependency_answer(Dependency::Upstream, "");
        }
        let grants = answer.and_then(|answer| self.merge_grants(&service, &held, &answer));
        let outcome = match (rejection, &grants) {
            (Some(rejection), _) => rejection.as_str(),
            (None, Some(_)) => "granted",
            (None, None) => "nothing",
        };
        self.shared.metrics.count_event("check-in", outcome);
        self.environment.build_response(grants.as_ref())
    }

    fn build_check_in(&self, check_in: UpstreamCheckIn) -> CheckIn {
        let view = self.shared.view();
        let service_config = view.fleet.plans().services.get(&check_in.service);
        let connections = service_config.and_then(|service_config| service_config.connections);
        let (handovers, held) = match service_config {
            Some(service_config) => (
                released_handovers(&check_in, service_config),
                held_units(&check_in, service_config),
            ),
            None => Default::default(),
        };
        CheckIn {
            announcement: Announcement {
                address: check_in.address,
                checks_grants: true,
                connections: connections.unwrap_or(DEFAULT_CONNECTIONS),
                instance: check_in.instance,
                polls_grants: true,
                service: check_in.service,
                slots: check_in.slots,
                started_unix_ms: check_in.started_unix_ms,
                version: check_in.version,
            },
            draining: check_in.draining,
            handovers,
            held,
            id: self.next_id.fetch_add(1, Ordering::Relaxed),
            sequence: check_in.sequence,
            warm_up_left: check_in.warm_up_left,
        }
    }

    /// Returns the grants as key ranges. Adjacent ranges under the same fence are merged.
    fn merge_grants(
        &self,
        service: &ServiceId,
        held: &BTreeSet<UnitFence>,
        answer: &CheckInAnswer,
    ) -> Option<UpstreamGrants> {
        let hold_duration = answer.hold?;
        let view = self.shared.view();
        let service_config = view.fleet.plans().services.get(service)?;
        let mut ranges: Vec<RangeGrant> = Vec::new();
        for granted in &answer.granted {
            let Unit::Shard { index, .. } = &granted.unit else {
                continue;
            };
            let Some(range) = service_config.range_of_shard(*index) else {
                continue;
            };
            let owner = view.fleet.owner(&granted.unit);
            let owner =
                owner.filter(|owner| owner.fence == granted.fence && !held.contains(granted));
            let handover = owner
                .map(|owner| owner.handover.clone())
                .unwrap_or_default();
            push_merged(
                &mut ranges,
                RangeGrant {
                    fence: granted.fence,
                    handover,
                    range,
                },
            );
        }
        truncate_to_fit(&mut ranges);
        Some(UpstreamGrants {
            hold_duration,
            ranges,
        })
    }
}

/// Adds a range. It is merged into the last one if the two are adjacent, have the same fence, and have no handover.
fn push_merged(ranges: &mut Vec<RangeGrant>, next: RangeGrant) {
    if let Some(last) = ranges.last_mut()
        && last.fence == next.fence
        && last.handover == next.handover
        && last.handover.is_empty()
        && last.range.last + 1 == next.range.first
    {
        last.range.last = next.range.last;
        return;
    }
    ranges.push(next);
}

/// Removes ranges from the end until the remaining ones fit into an answer.
fn truncate_to_fit(ranges: &mut Vec<RangeGrant>) {
    let mut bytes = 0;
    let fitting_ranges = ranges.iter().take_while(|grant| {
        let KeyRange { first, last } = grant.range;
        let numbers = [u64::from(first), u64::from(last), grant.fence];
        let digits: usize = numbers.map(|number| number.to_string().len()).iter().sum();
        bytes += RANGE_OVERHEAD_BYTES + digits + grant.handover.len();
        bytes <= MAX_RANGES_BYTES
    });
    let count = fitting_ranges.count();
    if count < ranges.len() {
        log::warn!(
            "{} key ranges are granted, but only {count} fit into an answer: declare fewer shards",
            ranges.len()
        );
        ranges.truncate(count);
    }
}

fn held_units(check_in: &UpstreamCheckIn, service_config: &Service) -> Option<Vec<UnitFence>> {
    let held_ranges = check_in.held.as_ref()?;
    let mut held = Vec::new();
    for (index, range) in shard_ranges(service_config) {
        let mut ranges = held_ranges.iter();
        if let Some((_, fence)) = ranges.find(|(held_range, _)| held_range.overlaps(&range)) {
            held.push(UnitFence {
                fence: *fence,
                unit: shard_unit(check_in, index),
            });
        }
    }
    Some(held)
}

fn released_handovers(
    check_in: &UpstreamCheckIn,
    service_config: &Service,
) -> BTreeMap<Unit, String> {
    let mut handovers = BTreeMap::new();
    for (index, range) in shard_ranges(service_config) {
        let mut ranges = check_in.released.iter();
        if let Some((_, handover)) = ranges.find(|(held_range, _)| held_range.covers(&range)) {
            handovers.insert(shard_unit(check_in, index), handover.clone());
        }
    }
    handovers
}

fn shard_ranges(service_config: &Service) -> impl Iterator<Item = (u32, KeyRange)> + '_ {
    (0..service_config.shards)
        .filter_map(|index| Some((index, service_config.range_of_shard(index)?)))
}

fn shard_unit(check_in: &UpstreamCheckIn, index: u32) -> Unit {
    Unit::Shard {
        service: check_in.service.clone(),
        index,
    }
}
