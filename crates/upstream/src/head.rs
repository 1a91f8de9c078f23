//! Encoding of requests, and filtering of the headers of answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Uri;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http::header::TE;
use http::header::TRAILER;
use http::header::TRANSFER_ENCODING;
use http::header::UPGRADE;
use http_body_util::Full;

use crate::Dialect;
use crate::DispatchError;
use crate::Request;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Prefix of the names of headers between home and upstream.
const INTERNAL_PREFIX: &str = "skylark-";

/// Headers that apply to one connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    CONTENT_LENGTH,
    KEEP_ALIVE,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Encodes a request as HTTP, without its deadline header, which is set when it is sent.
pub(crate) fn encode_request(
    req: Request,
    address: SocketAddr,
    dialect: &Dialect,
) -> Result<http::Request<Full<Bytes>>, DispatchError> {
    let mut encoded = http::Request::new(Full::new(req.body));
    *encoded.method_mut() =
        Method::from_bytes(req.method.as_bytes()).map_err(|_| DispatchError::Invalid("method"))?;
    *encoded.uri_mut() = Uri::try_from(req.path_and_query)
        .ok()
        .filter(|uri| uri.path().starts_with('/') && uri.authority().is_none())
        .ok_or(DispatchError::Invalid("path"))?;
    let headers = encoded.headers_mut();
    for (name, value) in &req.headers {
        headers.append(name.clone(), value.clone());
    }
    if !headers.contains_key(HOST) {
        insert_header(headers, &HOST, "address", Some(address.to_string()))?;
    }
    insert_header(headers, &CONTENT_TYPE, "content type", req.content_type)?;
    insert_header(headers, &dialect.request_id, "id", Some(req.request_id))?;
    insert_header(headers, &dialect.workspace, "workspace", req.workspace)?;
    insert_header(headers, &dialect.key, "key", req.key)?;
    if let Some(name) = &dialect.caller_service {
        insert_header(headers, name, "caller's service", req.caller_service)?;
    }
    if let Some(name) = &dialect.target_instance {
        insert_header(headers, name, "upstream", req.instance)?;
    }
    if let Some(grant) = req.grant {
        if let Some(name) = &dialect.unit {
            insert_header(headers, name, "unit", Some(grant.unit.to_string()))?;
        }
        if let Some(name) = &dialect.fence {
            insert_header(headers, name, "fence", Some(grant.fence.to_string()))?;
        }
    }
    Ok(encoded)
}

/// Sets the header with the time until the deadline.
pub(crate) fn set_deadline(headers: &mut HeaderMap, name: &HeaderName, remaining: Duration) {
    let milliseconds = remaining.as_millis().min(u128::from(u64::MAX)) as u64;
    headers.insert(name, HeaderValue::from(milliseconds));
}

/// Returns the names of the hop-by-hop headers, including those that the `connection` header names.
pub fn hop_by_hop_headers(headers: &HeaderMap) -> impl Iterator<Item = HeaderName> + '_ {
    let named = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok());
    named.chain(HOP_BY_HOP)
}

/// Removes the headers that must not be forwarded to the caller.
pub(crate) fn strip_internal_headers(headers: &mut HeaderMap, dialect: &Dialect) {
    let internal = headers
        .keys()
        .filter(|name| name.as_str().starts_with(INTERNAL_PREFIX))
        .cloned();
    let removed: Vec<HeaderName> = internal
        .chain(hop_by_hop_headers(headers))
        .chain(dialect.private_headers.iter().cloned())
        .chain([&dialect.leaving, &dialect.rate_limit, &dialect.request_id].map(Clone::clone))
        .collect();
    for name in removed {
        headers.remove(name);
    }
}

fn insert_header(
    headers: &mut HeaderMap,
    name: &HeaderName,
    part: &'static str,
    value: Option<String>,
) -> Result<(), DispatchError> {
    if let Some(value) = value {
        let value = HeaderValue::from_maybe_shared(Bytes::from(value))
            .map_err(|_| DispatchError::Invalid(part))?;
        headers.insert(name, value);
    }
    Ok(())
}
