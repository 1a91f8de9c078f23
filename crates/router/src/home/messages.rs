//! Conversion between peer messages and the types of the policy and upstream crates.

use std::time::Duration;

use bytes::Bytes;
use cluster::Fleet;
use http::HeaderName;
use http::HeaderValue;
use ids::Fence;
use ids::Unit;
use policy::Content;
use policy::Idempotency;
use policy::IdempotencyKey;
use policy::NewRequest;
use policy::Outcome as RunOutcome;
use policy::Reason;
use policy::RequestClass;
use policy::Statement;
use upstream::Grant;
use upstream::Request;
use wire::Answer;
use wire::Dispatch;
use wire::Header;
use wire::Outcome;
use wire::Refused;

use crate::clock::milliseconds;

/// Restores the fields that the entry leaves out of a dispatch, as they are derived from the others.
pub(crate) fn restore_derived_fields(dispatch: &mut Dispatch, fleet: &Fleet) {
    if dispatch.fingerprint.is_empty() {
        let content = Content {
            body: &dispatch.body,
            key: dispatch.key.as_deref(),
            method: &dispatch.method,
            path: &dispatch.path_and_query,
            service: &dispatch.service,
            workspace: dispatch.workspace.as_deref(),
        };
        dispatch.fingerprint = content.fingerprint();
    }
    if let Some(key) = &dispatch.key
        && dispatch.unit.is_none()
    {
        let unit = fleet.unit_of(&dispatch.service, key);
        dispatch.unit = unit.map(|unit| unit.to_string());
    }
}

/// Clears the fields of a dispatch that the home restores with [`restore_derived_fields`].
pub(crate) fn clear_derived_fields(dispatch: &mut Dispatch) {
    dispatch.fingerprint.clear();
    if matches!(grant_of(dispatch), Some((Unit::Shard { .. }, _))) {
        dispatch.unit = None;
    }
}

/// Returns the unit and fence that a dispatch names.
pub(crate) fn grant_of(dispatch: &Dispatch) -> Option<(Unit, Fence)> {
    let unit = dispatch.unit.as_ref()?.parse().ok()?;
    Some((unit, dispatch.fence))
}

/// Returns the class of a dispatch in the queue.
pub(crate) fn class_of(dispatch: &Dispatch) -> RequestClass {
    let parent = dispatch.parent.as_ref();
    parent.map_or(RequestClass::NewWork, |parent| {
        RequestClass::of_call(parent.repeatable)
    })
}

/// Returns a dispatch in the form that the request memory takes.
pub(crate) fn new_request(dispatch: &Dispatch) -> NewRequest {
    let workspace = dispatch.workspace.clone().unwrap_or_default();
    let key = dispatch.idempotency_key.as_deref();
    let key = key.and_then(|key| IdempotencyKey::parse(workspace, key));
    NewRequest {
        id: dispatch.request_id.clone(),
        idempotency: key.map(|key| Idempotency {
            fingerprint: dispatch.fingerprint.clone(),
            key,
        }),
        idempotent: dispatch.idempotent,
        unit: grant_of(dispatch).map(|(unit, _)| unit),
    }
}

/// Returns the request to send to the upstream.
pub(crate) fn upstream_request(dispatch: &Dispatch, instance: &str) -> Request {
    let headers = dispatch.headers.iter().filter_map(|header| {
        let name = HeaderName::try_from(header.name.as_str()).ok()?;
        let value = HeaderValue::from_maybe_shared(header.value.clone()).ok()?;
        Some((name, value))
    });
    Request {
        body: dispatch.body.clone(),
        caller_service: dispatch.caller_service.clone(),
        content_type: dispatch.content_type.clone(),
        grant: grant_of(dispatch).map(|(unit, fence)| Grant { unit, fence }),
        headers: headers.collect(),
        idempotent: dispatch.idempotent,
        instance: Some(instance.to_owned()),
        key: dispatch.key.clone(),
        method: dispatch.method.clone(),
        path_and_query: dispatch.path_and_query.clone(),
        request_id: dispatch.request_id.clone(),
        response_header_timeout: None,
        workspace: dispatch.workspace.clone(),
    }
}

/// Returns the answer of the upstream as a peer message.
pub(crate) fn encode_answer(answer: upstream::Answer) -> Answer {
    let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        Header::new(name.as_str().to_owned(), value)
    };
    Answer {
        status: u32::from(answer.status.as_u16()),
        headers: answer.headers.iter().map(header).collect(),
        body: answer.body,
        load: None,
    }
}

/// Returns a statement of this home as a peer message.
pub(crate) fn encode_statement(statement: &Statement) -> Outcome {
    Outcome::Refused(Refused {
        reason: statement.reason().as_str().to_owned(),
        not_run: statement.outcome() == RunOutcome::NotRun,
        retry_after_ms: statement.retry_after().map_or(0, milliseconds),
        load: None,
    })
}

/// Returns the statement that a peer message holds.
pub(crate) fn decode_statement(request_id: &str, refused: &Refused) -> Statement {
    let outcome = if refused.not_run {
        RunOutcome::NotRun
    } else {
        RunOutcome::Unknown
    };
    let reason = refused.reason.parse().unwrap_or(Reason::UpstreamSilent);
    let retry_after =
        (refused.retry_after_ms > 0).then(|| Duration::from_millis(refused.retry_after_ms));
    Statement::from_home(request_id.to_owned(), outcome, reason, retry_after)
}
