//! The HTTP interface for a local upstream that polls its grants.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
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
use membership::Event;
use serde_json::json;
use telemetry::Dependency;

use crate::Environment;
use crate::RangeGrant;
use crate::UpstreamGrants;
use crate::UpstreamMessage;
use crate::UpstreamReport;
use crate::control::ControlSender;
use crate::home::Home;
use crate::json_response::json_response;
use crate::shared::Shared;

/// Time after which a report is answered without grants if the control thread has not answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of connections that an upstream accepts if its service does not declare one.
const DEFAULT_CONNECTIONS: u32 = 64;

/// Maximum length of the ranges in one answer, in bytes. Upstreams do not accept longer ones.
const MAX_RANGES_BYTES: usize = 4_000;

/// Length of a range in an answer, without the digits of its numbers and its handover, in bytes.
const RANGE_OVERHEAD_BYTES: usize = 8;

/// Receives reports of the local upstream, and answers them with its grants.
pub(crate) struct ReportService {
    pub(crate) control: ControlSender,
    pub(crate) environment: Arc<dyn Environment>,
    pub(crate) home: Arc<Home>,
    pub(crate) next_id: AtomicU64,
    pub(crate) shared: Arc<Shared>,
}

impl Handler for ReportService {
    async fn handle(&self, req: Request<Bytes>) -> Response<Bytes> {
        match self.environment.parse_message(&req) {
            Ok(UpstreamMessage::Left { instance }) => {
                self.home.record_stopping(&instance);
                self.control.send_event(Event::UpstreamLeft { instance });
                self.environment.answer_report(None)
            }
            Ok(UpstreamMessage::Report(report)) => self.handle_report(report).await,
            Err(problem) => json_response(StatusCode::BAD_REQUEST, &json!({ "error": problem })),
        }
    }

    fn refuse(&self, refused: RefusalReason) -> Response<Bytes> {
        json_response(
            StatusCode::BAD_REQUEST,
            &json!({ "error": refused.to_string() }),
        )
    }
}

impl ReportService {
    async fn handle_report(&self, report: UpstreamReport) -> Response<Bytes> {
        let service = report.service.clone();
        self.shared
            .record_dependency_answer(Dependency::Upstream, "");
        self.home
            .record_cold_time(&report.instance, report.cold_left);
        if report.draining {
            self.home.record_stopping(&report.instance);
        }
        let check_in = self.build_check_in(report);
        let held: BTreeSet<UnitFence> = check_in.held.iter().cloned().collect();
        let answer = self.control.check_in(check_in);
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
        let grants = answered
            .ok()
            .flatten()
            .and_then(|answer| self.merge_grants(&service, &held, &answer));
        let outcome = if grants.is_some() {
            "granted"
        } else {
            "nothing"
        };
        self.shared.metrics.count_event("check-in", outcome);
        self.environment.answer_report(grants.as_ref())
    }

    fn build_check_in(&self, report: UpstreamReport) -> CheckIn {
        let view = self.shared.view();
        let declared = view.fleet.plans().services.get(&report.service);
        let connections = declared.and_then(|declared| declared.connections);
        let (handovers, held) = match declared {
            Some(declared) => (
                released_handovers(&report, declared),
                held_units(&report, declared),
            ),
            None => Default::default(),
        };
        CheckIn {
            announcement: Announcement {
                address: report.address,
                checks_grants: true,
                connections: connections.unwrap_or(DEFAULT_CONNECTIONS),
                instance: report.instance,
                polls_grants: true,
                service: report.service,
                slots: report.slots,
            },
            started_unix_ms: report.born_unix_ms,
            draining: report.draining,
            handovers,
            held,
            id: self.next_id.fetch_add(1, Ordering::Relaxed),
            sequence: report.sequence,
        }
    }

    /// Returns the grants as key ranges. Adjacent ranges under the same fence are merged.
    fn merge_grants(
        &self,
        service: &ServiceId,
        held: &BTreeSet<UnitFence>,
        answer: &CheckInAnswer,
    ) -> Option<UpstreamGrants> {
        let hold = answer.hold?;
        let view = self.shared.view();
        let declared = view.fleet.plans().services.get(service)?;
        let mut ranges: Vec<RangeGrant> = Vec::new();
        for granted in &answer.granted {
            let Unit::Shard { index, .. } = &granted.unit else {
                continue;
            };
            let Some(range) = declared.range_of_shard(*index) else {
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
        Some(UpstreamGrants { hold, ranges })
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

fn held_units(report: &UpstreamReport, declared: &Service) -> Vec<UnitFence> {
    let mut held = Vec::new();
    for (index, range) in shard_ranges(declared) {
        let mut rows = report.held.iter();
        if let Some((_, fence)) = rows.find(|(row, _)| row.overlaps(&range)) {
            held.push(UnitFence {
                fence: *fence,
                unit: shard_unit(report, index),
            });
        }
    }
    held
}

fn released_handovers(report: &UpstreamReport, declared: &Service) -> BTreeMap<Unit, String> {
    let mut handovers = BTreeMap::new();
    for (index, range) in shard_ranges(declared) {
        let mut rows = report.released.iter();
        if let Some((_, handover)) = rows.find(|(row, _)| row.covers(&range)) {
            handovers.insert(shard_unit(report, index), handover.clone());
        }
    }
    handovers
}

fn shard_ranges(declared: &Service) -> impl Iterator<Item = (u32, KeyRange)> + '_ {
    (0..declared.shards).filter_map(|index| Some((index, declared.range_of_shard(index)?)))
}

fn shard_unit(report: &UpstreamReport, index: u32) -> Unit {
    Unit::Shard {
        service: report.service.clone(),
        index,
    }
}
