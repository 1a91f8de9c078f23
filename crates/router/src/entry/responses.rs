//! HTTP responses to callers.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use httpd::RefusalReason;
use policy::Outcome;
use policy::Reason;
use policy::Refusal;
use serde::Serialize;
use upstream::Dialect;
use wire::Answer;

use crate::clock::milliseconds;

/// Header with the reason of a refusal.
const REASON_HEADER: &str = "skylark-reason";

/// Header that states whether a refused request may have run.
const OUTCOME_HEADER: &str = "skylark-outcome";

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: RefusalDetail<'a>,
}

#[derive(Serialize)]
struct RefusalDetail<'a> {
    message: &'a str,
    outcome: &'a str,
    reason: &'a str,
    request_id: Option<&'a str>,
    retry_after_ms: Option<u64>,
}

/// Returns the response that carries an upstream's answer.
pub(crate) fn answer_response(
    dialect: &Dialect,
    request_id: &str,
    answer: Answer,
) -> Response<Bytes> {
    let mut response = Response::new(answer.body);
    let status = u16::try_from(answer.status).unwrap_or_default();
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in answer.headers {
        let name = HeaderName::try_from(header.name);
        let value = HeaderValue::from_maybe_shared(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    set_header(&mut response, dialect.request_id.as_str(), request_id);
    response
}

/// Returns the response that carries a refusal.
pub(crate) fn refusal_response(
    dialect: &Dialect,
    request_id: &str,
    refusal: &Refusal,
) -> Response<Bytes> {
    let mut response = build_refusal(
        dialect,
        refusal_status(refusal.reason(), refusal.outcome()),
        refusal.reason(),
        refusal.outcome(),
        refusal_message(refusal.reason()),
        Some(request_id),
        refusal.retry_after(),
    );
    set_header(&mut response, dialect.request_id.as_str(), request_id);
    response
}

/// Returns the status and the reason of a rejection.
pub(crate) fn rejection_status(refusal_reason: RefusalReason) -> (StatusCode, Reason) {
    match refusal_reason {
        RefusalReason::BodyTooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, Reason::BodyTooLarge),
        RefusalReason::BodyTruncated => (StatusCode::BAD_REQUEST, Reason::BadHeader),
        RefusalReason::Busy | RefusalReason::TooManyConnections { .. } => {
            (StatusCode::SERVICE_UNAVAILABLE, Reason::Overloaded)
        }
        RefusalReason::HeadersTooLarge { .. } => (
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Reason::HeaderTooLarge,
        ),
        RefusalReason::Timeout { .. } => (StatusCode::REQUEST_TIMEOUT, Reason::DeadlinePassed),
    }
}

/// Returns the response to a request that was rejected before it was received completely.
pub(crate) fn rejection_response(
    dialect: &Dialect,
    status: StatusCode,
    reason: Reason,
    refusal_reason: RefusalReason,
) -> Response<Bytes> {
    build_refusal(
        dialect,
        status,
        reason,
        Outcome::NotRun,
        &refusal_reason.to_string(),
        None,
        None,
    )
}

fn build_refusal(
    dialect: &Dialect,
    status: StatusCode,
    reason: Reason,
    outcome: Outcome,
    message: &str,
    request_id: Option<&str>,
    retry_after: Option<Duration>,
) -> Response<Bytes> {
    let body = RefusalBody {
        error: RefusalDetail {
            message,
            outcome: outcome.as_str(),
            reason: reason.as_str(),
            request_id,
            retry_after_ms: retry_after.map(milliseconds),
        },
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    set_header(&mut response, CONTENT_TYPE.as_str(), "application/json");
    set_header(&mut response, REASON_HEADER, reason.as_str());
    set_header(&mut response, OUTCOME_HEADER, outcome.as_str());
    if let Some(retry_after) = retry_after {
        let seconds = if dialect.has_fractional_retry_after {
            format!("{:.3}", retry_after.as_secs_f64())
        } else {
            retry_after.as_millis().div_ceil(1_000).to_string()
        };
        set_header(&mut response, RETRY_AFTER.as_str(), &seconds);
    }
    response
}

fn set_header(response: &mut Response<Bytes>, name: &str, value: &str) {
    let name = HeaderName::try_from(name);
    let value = HeaderValue::try_from(value);
    if let (Ok(name), Ok(value)) = (name, value) {
        response.headers_mut().insert(name, value);
    }
}

/// Returns the status of a refusal. A status that implies that the request did not run is returned only if that is so.
fn refusal_status(reason: Reason, outcome: Outcome) -> StatusCode {
    match (default_status(reason), outcome) {
        (StatusCode::SERVICE_UNAVAILABLE, Outcome::Unknown) => StatusCode::BAD_GATEWAY,
        (StatusCode::BAD_GATEWAY, Outcome::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (status, _) => status,
    }
}

fn default_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadHeader => StatusCode::BAD_REQUEST,
        Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Reason::HeaderTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        Reason::IdempotencyConflict | Reason::IdempotencyUnknown => StatusCode::CONFLICT,
        Reason::KeyWithdrawn | Reason::Unauthenticated => StatusCode::UNAUTHORIZED,
        Reason::NotGranted => StatusCode::FORBIDDEN,
        Reason::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
        Reason::UnknownRoute => StatusCode::NOT_FOUND,
        Reason::AnswerTooLarge
        | Reason::CrossedAnswer
        | Reason::UpstreamCrashed
        | Reason::UpstreamSilent => StatusCode::BAD_GATEWAY,
        Reason::LeaseLapsed
        | Reason::NoOwner
        | Reason::NotOwner
        | Reason::Overloaded
        | Reason::OwnerUnreachable
        | Reason::Quarantined
        | Reason::Shed
        | Reason::Stopping
        | Reason::Unconfigured
        | Reason::Uninformed
        | Reason::ZoneOut => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn refusal_message(reason: Reason) -> &'static str {
    match reason {
        Reason::AnswerTooLarge => "the answer is larger than this fleet passes on: ask for less",
        Reason::BadHeader => {
            "a header is missing or malformed: check `skylark-key`, `skylark-deadline-ms` and `idempotency-key` (a UUID of version 7)"
        }
        Reason::BodyTooLarge => "the body is larger than the limit: send a smaller one",
        Reason::CrossedAnswer => {
            "the upstream mixed up answers: ask whether the request ran before you send it again"
        }
        Reason::DeadlinePassed => "the deadline passed: send the request again with a later one",
        Reason::HeaderTooLarge => "the headers are larger than the limit: send smaller ones",
        Reason::IdempotencyConflict => {
            "the idempotency key was used for another request: choose a new one"
        }
        Reason::IdempotencyUnknown => {
            "whether the idempotency key was used before cannot be known: check, then use a new one"
        }
        Reason::KeyWithdrawn => "the tenant key was withdrawn: ask the operators for a new one",
        Reason::LeaseLapsed => {
            "the owner of the key cannot serve at the moment: send the request again"
        }
        Reason::NoOwner => "no upstream owns the key at the moment: send the request again",
        Reason::NotGranted => {
            "the plan of the workspace does not grant this service: ask the operators"
        }
        Reason::NotOwner => "the key is on its way to another owner: send the request again",
        Reason::Overloaded => "too much waits here: send the request again later",
        Reason::OwnerUnreachable => {
            "the owner of the key cannot be reached: send the request again"
        }
        Reason::Quarantined => {
            "requests like this one crashed upstreams: ask the operators to clear it"
        }
        Reason::RateExceeded => "the workspace exceeds its rate: send the request again later",
        Reason::Shed => "the upstream sheds load: send the request again later",
        Reason::Stopping => "this process is stopping: send the request to another VM",
        Reason::Unauthenticated => {
            "the tenant key is missing or unknown: send `authorization: Bearer KEY`"
        }
        Reason::Unconfigured => {
            "this process has no configuration for the request yet: send the request again"
        }
        Reason::Uninformed => {
            "this process cannot learn the configuration in force: send the request to another VM"
        }
        Reason::UnknownRoute => "no service has this route: check method and path",
        Reason::UpstreamCrashed => {
            "the upstream crashed: find out whether the request ran before you send it again"
        }
        Reason::UpstreamSilent => {
            "the upstream gave no whole answer: find out whether the request ran before you send it again"
        }
        Reason::ZoneOut => "the zone of the upstream is out of service: send the request again",
    }
}
