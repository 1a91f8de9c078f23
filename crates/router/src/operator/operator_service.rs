//! The HTTP interface for operators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cluster::Member;
use futures_util::future::join_all;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use httpd::Handler;
use httpd::RefusalReason;
use ids::Offset;
use serde_json::json;
use wire::PullRecords;

use crate::home::Home;
use crate::json_response::json_response;
use crate::links::LinkPool;
use crate::operator::member_report::MemberReport;
use crate::operator::owner_report::OwnerReport;
use crate::operator::process_report::ProcessReport;
use crate::operator::status_report::StatusReport;
use crate::shared::Shared;
use crate::view::View;

/// Path of the readiness check for load balancers.
const READY_PATH: &str = "/ready";

/// Time-out of a call to another member.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves requests of operators.
pub(crate) struct OperatorService {
    pub(crate) home: Arc<Home>,
    pub(crate) links: Arc<LinkPool>,
    pub(crate) shared: Arc<Shared>,
}

impl Handler for OperatorService {
    async fn handle(&self, req: Request<Bytes>) -> Response<Bytes> {
        if req.method() != Method::GET {
            return not_found();
        }
        let path = req.uri().path();
        if path == READY_PATH {
            return self.ready();
        }
        if path == "/v1/status" {
            return json_response(StatusCode::OK, &self.status_report().await);
        }
        if path == "/v1/owner" {
            return self.owner(req.uri().query().unwrap_or_default());
        }
        match path.strip_prefix("/v1/explain/") {
            Some(request_id) => self.explain(request_id),
            None => not_found(),
        }
    }

    fn refuse(&self, reason: RefusalReason) -> Response<Bytes> {
        json_response(
            StatusCode::BAD_REQUEST,
            &json!({ "error": reason.to_string() }),
        )
    }
}

impl OperatorService {
    /// Reports whether callers should send new requests to this process.
    fn ready(&self) -> Response<Bytes> {
        let view = self.shared.view();
        let is_ready = view.is_informed && view.fleet.is_configured() && !self.shared.is_stopping();
        let status = if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        json_response(status, &json!({ "ready": is_ready }))
    }

    async fn status_report(&self) -> StatusReport {
        let view = self.shared.view();
        let fleet = &view.fleet;
        let members = fleet.members().values();
        let members = join_all(members.map(|member| self.member_report(&view, member))).await;
        let zones = fleet
            .members()
            .values()
            .map(|member| member.join.zone.clone());
        StatusReport {
            config_version: fleet.config_version(),
            members,
            next: fleet.next_offset(),
            plans_version: fleet.plans_version(),
            process: self.process_report(&view),
            quarantine: fleet.quarantine().keys().cloned().collect(),
            rollouts: self.shared.rollout_statuses(),
            units: fleet.owners().len(),
            unowned_units: fleet.unowned_units().len(),
            workspaces_version: fleet.workspaces_version(),
            zones_out: zones
                .map(|zone| (zone.clone(), fleet.is_zone_out(&zone)))
                .collect(),
        }
    }

    async fn member_report(&self, view: &View, member: &Member) -> MemberReport {
        let join = &member.join;
        MemberReport {
            drained: view.fleet.is_drained(&join.vm),
            incarnation: member.incarnation,
            next: self.next_offset(view, member).await,
            service: join.service.clone(),
            units: view.fleet.unit_count(&join.vm),
            vm: join.vm.clone(),
            witnesses: member.witnesses.iter().cloned().collect(),
            zone: join.zone.clone(),
            zone_out: view.fleet.is_zone_out(&join.zone),
        }
    }

    /// Returns the offset of the next record that a member reads, or `None` if it does not answer.
    async fn next_offset(&self, view: &View, member: &Member) -> Option<Offset> {
        if member.join.vm == self.shared.vm {
            return Some(view.fleet.next_offset());
        }
        let request = async {
            let link = self.links.link(&member.join.vm, member.join.peer).await?;
            let no_records = PullRecords { from: 0, max: 0 };
            link.pull_records(no_records, MEMBER_TIMEOUT).await.ok()
        };
        let pulled = tokio::time::timeout(MEMBER_TIMEOUT, request).await.ok()??;
        Some(pulled.next)
    }

    fn process_report(&self, view: &View) -> ProcessReport {
        let (queued, running) = self.home.count_requests();
        ProcessReport {
            control_traffic: self.shared.control_traffic.report(),
            invalid_declarations: self.shared.invalid_declarations(),
            membership: Arc::unwrap_or_clone(Arc::clone(&view.status)),
            queued,
            running,
            stopping: self.shared.is_stopping(),
            vm: self.shared.vm.clone(),
        }
    }

    fn owner(&self, query: &str) -> Response<Bytes> {
        let parameters = parse_query(query);
        let (Some(service), Some(key)) = (parameters.get("service"), parameters.get("key")) else {
            let body =
                json!({ "error": "name service and key: /v1/owner?service=SERVICE&key=KEY" });
            return json_response(StatusCode::BAD_REQUEST, &body);
        };
        let view = self.shared.view();
        let Some(unit) = view.fleet.unit_of(service, key) else {
            let body = json!({ "error": format!("`{service}` is not a service with keys: check its name") });
            return json_response(StatusCode::NOT_FOUND, &body);
        };
        let report = OwnerReport {
            owner: view.fleet.owner(&unit).cloned(),
            unit,
        };
        json_response(StatusCode::OK, &report)
    }

    fn explain(&self, request_id: &str) -> Response<Bytes> {
        let decisions = self.shared.decisions.decisions_for(request_id);
        if decisions.is_empty() {
            let body = json!({ "error": "this process keeps no decision about the request: ask the VM that answered it" });
            return json_response(StatusCode::NOT_FOUND, &body);
        }
        json_response(StatusCode::OK, &decisions)
    }
}

fn not_found() -> Response<Bytes> {
    let body =
        json!({ "error": "there are GET /v1/status, /v1/owner and /v1/explain/REQUEST_ID here" });
    json_response(StatusCode::NOT_FOUND, &body)
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), percent_decode(value)))
        .collect()
}

/// Decodes `%XX`. Invalid UTF-8 in the result is replaced by replacement characters.
fn percent_decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}
