//! Responses to callers' requests.

use http::HeaderValue;
use http::StatusCode;
use ids::RequestId;
use serde_json::Value;
use serde_json::json;

use crate::ExecutionOutcome;
use crate::http::HttpResponse;
use crate::http::json_response;
use crate::upstream::State;
use crate::upstream::UpstreamRequest;

/// Returns the response to a request, or the previous response when the `crossed_answers` fault is active.
pub(crate) fn build_response(
    state: &mut State,
    instance: &str,
    req: &UpstreamRequest,
    outcome: ExecutionOutcome,
) -> HttpResponse {
    let mut response = outcome_response(state, instance, req, outcome);
    let headers = response.headers_mut();
    if state.faults.leaving {
        headers.insert("skylark-leaving", HeaderValue::from_static("1"));
    }
    if let Some(rate) = state.faults.rate_limit {
        let rate = HeaderValue::from_str(&rate.to_string()).expect("a number is ASCII");
        headers.insert("skylark-rate-limit", rate);
    }
    response
}

fn outcome_response(
    state: &mut State,
    instance: &str,
    req: &UpstreamRequest,
    outcome: ExecutionOutcome,
) -> HttpResponse {
    let (status, not_run_reason) = match outcome {
        ExecutionOutcome::Ran => return completed_response(state, instance, req),
        ExecutionOutcome::NotGranted => (StatusCode::CONFLICT, Some("fence")),
        ExecutionOutcome::Shed => (StatusCode::SERVICE_UNAVAILABLE, Some("shed")),
        _ => (StatusCode::GATEWAY_TIMEOUT, None),
    };
    let mut response = with_request_id(
        json_response(status, &json!({ "outcome": outcome })),
        &req.id,
    );
    if let Some(reason) = not_run_reason {
        let reason = HeaderValue::from_static(reason);
        response.headers_mut().insert("skylark-not-run", reason);
    }
    response
}

fn completed_response(state: &mut State, instance: &str, req: &UpstreamRequest) -> HttpResponse {
    let current = (req.id.clone(), response_body(instance, req));
    let previous = state.last_response.replace(current.clone());
    let mut sent = current;
    if state.faults.crossed_answers > 0
        && let Some(previous) = previous
    {
        state.faults.crossed_answers -= 1;
        sent = previous;
    }
    with_request_id(json_response(StatusCode::OK, &sent.1), &sent.0)
}

fn response_body(instance: &str, req: &UpstreamRequest) -> Value {
    json!({
        "body_hash": req.body_hash,
        "instance": instance,
        "key": req.key,
        "padding": "x".repeat(req.response_bytes),
        "request_id": req.id,
        "workspace": req.workspace,
    })
}

fn with_request_id(mut response: HttpResponse, id: &RequestId) -> HttpResponse {
    let value = HeaderValue::from_str(id).expect("the id was read from a header");
    response.headers_mut().insert("skylark-request-id", value);
    response
}
