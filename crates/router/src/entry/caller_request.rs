//! What a caller asks for.

use std::time::Duration;

use bytes::Bytes;
use config::Plans;
use config::Service;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http::header::EXPECT;
use http::header::HOST;
use http::request::Parts;
use http::uri::PathAndQuery;
use ids::RequestId;
use ids::ServiceId;
use policy::Content;
use policy::IdempotencyKey;
use policy::Reason;
use policy::RequestHead;
use upstream::Dialect;
use upstream::hop_by_hop_headers;
use wire::Header;

use crate::entry::splits::Splits;
use crate::settings::Limits;
use crate::shared::Shared;

/// Header with the caller's idempotency key.
const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A request as its caller sent it, with the route that it takes.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// Most upstreams that the request may be sent to, absent for the number of this product.
    pub(crate) attempts: Option<u32>,
    /// Time that the caller waits, also where the route allows less.
    pub(crate) asked: Duration,
    pub(crate) body: Bytes,
    pub(crate) content_type: Option<String>,
    pub(crate) headers: HeaderMap,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) is_idempotent: bool,
    pub(crate) is_open: bool,
    pub(crate) key: Option<String>,
    pub(crate) method: String,
    pub(crate) path_and_query: String,
    /// Rank of the route, 0 for the most urgent.
    pub(crate) priority: u32,
    /// Name of the route.
    pub(crate) route: String,
    pub(crate) service: ServiceId,
    /// Target latency of the route, zero when it has none.
    pub(crate) target_latency: Duration,
    pub(crate) timeout: Duration,
}

impl CallerRequest {
    /// Reads a request.
    pub(crate) fn read(
        req: Request<Bytes>,
        plans: &Plans,
        shared: &Shared,
        splits: &Splits,
    ) -> Result<Self, Reason> {
        let (head, body) = req.into_parts();
        let dialect = &shared.dialect;
        let path_and_query = head.uri.path_and_query().ok_or(Reason::UnknownRoute)?;
        let chosen = if plans.hosts.is_empty() {
            by_service(plans, head.method.as_str(), path_and_query.as_str())?
        } else {
            let host = host(&head).ok_or(Reason::UnknownRoute)?;
            by_host(plans, &host, path_and_query, splits)?
        };
        let declared = plans.services.get(&chosen.service);
        let declared = declared.ok_or(Reason::UnknownRoute)?;
        let key = header(&head.headers, &dialect.key)?;
        if declared.is_keyed() {
            check_key(key.as_deref(), declared)?;
        }
        let asked = timeout(&head.headers, &dialect.deadline_ms, &shared.limits)?;
        Ok(Self {
            asked,
            attempts: chosen.attempts,
            content_type: header(&head.headers, &CONTENT_TYPE)?,
            idempotency_key: header(&head.headers, &IDEMPOTENCY_HEADER)?,
            is_idempotent: chosen.idempotent,
            is_open: chosen.open,
            key: key.filter(|_| declared.is_keyed()),
            method: head.method.as_str().to_owned(),
            path_and_query: chosen.path_and_query,
            priority: chosen.priority,
            route: chosen.route,
            service: chosen.service,
            target_latency: chosen.target_latency,
            timeout: asked.min(chosen.timeout),
            headers: head.headers,
            body,
        })
    }

    /// Returns the headers that the upstream gets as the caller sent them.
    pub(crate) fn forwarded_headers(&self, dialect: &Dialect) -> Vec<Header> {
        let mut set_here = vec![
            &AUTHORIZATION,
            &CONTENT_TYPE,
            &EXPECT,
            &dialect.deadline_ms,
            &dialect.request_id,
            &dialect.workspace,
        ];
        set_here.extend(&dialect.caller_service);
        set_here.extend(&dialect.target_instance);
        set_here.extend(self.key.as_ref().map(|_| &dialect.key));
        let hop_by_hop_headers: Vec<HeaderName> = hop_by_hop_headers(&self.headers).collect();
        let is_forwarded =
            |name: &HeaderName| !set_here.contains(&name) && !hop_by_hop_headers.contains(name);
        let headers = self.headers.iter();
        headers
            .filter(|(name, _)| is_forwarded(name))
            .map(|(name, value)| {
                let value = Bytes::copy_from_slice(value.as_bytes());
                Header::new(name.as_str().to_owned(), value)
            })
            .collect()
    }

    /// Checks the idempotency key, which must be a UUID of version 7.
    pub(crate) fn check_idempotency_key(&self, workspace: &str) -> Result<(), Reason> {
        let Some(key) = &self.idempotency_key else {
            return Ok(());
        };
        match IdempotencyKey::parse(workspace.to_owned(), key) {
            Some(_) => Ok(()),
            None => Err(Reason::BadHeader),
        }
    }

    /// Returns what decisions about the request are based on.
    pub(crate) fn head(&self, id: RequestId, now: Duration) -> RequestHead {
        RequestHead {
            deadline: now + self.timeout,
            id,
            idempotency_key: self.idempotency_key.clone(),
            idempotent: self.is_idempotent,
            key: self.key.clone(),
            method: self.method.clone(),
            path: self.path_and_query.clone(),
            service: self.service.clone(),
        }
    }

    /// Returns the identity of what the request does.
    pub(crate) fn fingerprint(&self, workspace: Option<&str>) -> String {
        let content = Content {
            body: &self.body,
            key: self.key.as_deref(),
            method: &self.method,
            path: &self.path_and_query,
            service: &self.service,
            workspace,
        };
        content.fingerprint()
    }
}

/// Splits `/SERVICE/PATH` into the name of the service and the path with its slash.
fn split_service(path_and_query: &str) -> Option<(&str, &str)> {
    let rest = path_and_query.strip_prefix('/')?;
    let slash = rest.find('/')?;
    Some(rest.split_at(slash))
}

/// What the route of a request says of it.
struct Chosen {
    attempts: Option<u32>,
    idempotent: bool,
    open: bool,
    path_and_query: String,
    priority: u32,
    route: String,
    service: ServiceId,
    target_latency: Duration,
    timeout: Duration,
}

fn by_service(plans: &Plans, method: &str, path_and_query: &str) -> Result<Chosen, Reason> {
    let (service, rest) = split_service(path_and_query).ok_or(Reason::UnknownRoute)?;
    let declared = plans.services.get(service).ok_or(Reason::UnknownRoute)?;
    let path = rest.split('?').next().unwrap_or(rest);
    let route = declared.route(method, path).ok_or(Reason::UnknownRoute)?;
    Ok(Chosen {
        attempts: None,
        idempotent: route.idempotent,
        open: route.open,
        path_and_query: rest.to_owned(),
        priority: 0,
        route: service.to_owned(),
        service: service.to_owned(),
        target_latency: Duration::ZERO,
        timeout: Duration::MAX,
    })
}

fn by_host(
    plans: &Plans,
    host: &str,
    path_and_query: &PathAndQuery,
    splits: &Splits,
) -> Result<Chosen, Reason> {
    let route = plans.host_route(host, path_and_query.path());
    let route = route.ok_or(Reason::UnknownRoute)?;
    let service = splits.next(host, route).ok_or(Reason::UnknownRoute)?;
    Ok(Chosen {
        attempts: Some(route.attempts),
        idempotent: route.idempotent,
        open: route.open,
        path_and_query: path_and_query.as_str().to_owned(),
        priority: route.priority,
        route: route.name.clone(),
        service,
        target_latency: route.target_latency(),
        timeout: route.timeout(),
    })
}

/// Returns the host that a request names, without a port.
fn host(head: &Parts) -> Option<String> {
    let named = match head.uri.authority() {
        Some(authority) => authority.host().to_owned(),
        None => head.headers.get(HOST)?.to_str().ok()?.to_owned(),
    };
    let host = named.split(':').next().unwrap_or(&named);
    Some(host.to_ascii_lowercase())
}

fn header(headers: &HeaderMap, name: &HeaderName) -> Result<Option<String>, Reason> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Reason::BadHeader)?;
    Ok(Some(text.to_owned()))
}

fn check_key(key: Option<&str>, declared: &Service) -> Result<(), Reason> {
    let key = key.ok_or(Reason::BadHeader)?;
    let is_known = declared.numeric_keys.is_none() || declared.shard_of_numeric_key(key).is_some();
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !is_known {
        return Err(Reason::BadHeader);
    }
    Ok(())
}

fn timeout(headers: &HeaderMap, name: &HeaderName, limits: &Limits) -> Result<Duration, Reason> {
    let Some(text) = header(headers, name)? else {
        return Ok(limits.default_deadline());
    };
    let milliseconds = text.parse().map_err(|_| Reason::BadHeader)?;
    if milliseconds == 0 {
        return Err(Reason::BadHeader);
    }
    Ok(Duration::from_millis(milliseconds).min(limits.max_deadline()))
}
