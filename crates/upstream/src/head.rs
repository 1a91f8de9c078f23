//! Headers between home and upstream.

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

/// Start of the names of headers between home and upstream.
const PREFIX: &str = "skylark-";

/// Headers that belong to a connection.
const OF_CONNECTION: [HeaderName; 7] = [
    CONNECTION,
    CONTENT_LENGTH,
    KEEP_ALIVE,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Returns the request as it goes over the connection, still without its deadline.
pub(crate) fn encode(
    req: Request,
    address: SocketAddr,
    dialect: &Dialect,
) -> Result<http::Request<Full<Bytes>>, DispatchError> {
    let mut res = http::Request::new(Full::new(req.body));
    *res.method_mut() =
        Method::from_bytes(req.method.as_bytes()).map_err(|_| DispatchError::Invalid("method"))?;
    *res.uri_mut() = Uri::try_from(req.path_and_query)
        .ok()
        .filter(|uri| uri.path().starts_with('/') && uri.authority().is_none())
        .ok_or(DispatchError::Invalid("path"))?;
    let headers = res.headers_mut();
    for (name, value) in &req.headers {
        headers.append(name.clone(), value.clone());
    }
    if !headers.contains_key(HOST) {
        insert(headers, &HOST, "address", Some(address.to_string()))?;
    }
    insert(headers, &CONTENT_TYPE, "content type", req.content_type)?;
    insert(headers, &dialect.request_id, "id", Some(req.request_id))?;
    insert(headers, &dialect.workspace, "workspace", req.workspace)?;
    insert(headers, &dialect.key, "key", req.key)?;
    if let Some(name) = &dialect.caller_service {
        insert(headers, name, "caller's service", req.caller_service)?;
    }
    if let Some(name) = &dialect.target_instance {
        insert(headers, name, "upstream", req.instance)?;
    }
    if let Some(grant) = req.grant {
        if let Some(name) = &dialect.unit {
            insert(headers, name, "unit", Some(grant.unit.to_string()))?;
        }
        if let Some(name) = &dialect.fence {
            insert(headers, name, "fence", Some(grant.fence.to_string()))?;
        }
    }
    Ok(res)
}

/// Sets the time until nobody waits for the answer.
pub(crate) fn set_deadline(headers: &mut HeaderMap, name: &HeaderName, remaining: Duration) {
    let milliseconds = remaining.as_millis().min(u128::from(u64::MAX)) as u64;
    headers.insert(name, HeaderValue::from(milliseconds));
}

/// Returns the names of the headers that belong to a connection, and not to the message.
pub fn hop_by_hop_headers(headers: &HeaderMap) -> impl Iterator<Item = HeaderName> + '_ {
    let named = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok());
    named.chain(OF_CONNECTION)
}

/// Removes the headers that the caller must not get.
pub(crate) fn strip(headers: &mut HeaderMap, dialect: &Dialect) {
    let own = headers
        .keys()
        .filter(|name| name.as_str().starts_with(PREFIX))
        .cloned();
    let removed: Vec<HeaderName> = own
        .chain(hop_by_hop_headers(headers))
        .chain(dialect.private_headers.iter().cloned())
        .chain([dialect.request_id.clone()])
        .collect();
    for name in removed {
        headers.remove(name);
    }
}

fn insert(
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
