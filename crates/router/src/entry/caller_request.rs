//! Requests as callers send them.

use std::time::Duration;

use bytes::Bytes;
use config::HostRouteMatch;
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

use crate::entry::traffic_splits::TrafficSplits;
use crate::host_name::host_name;
use crate::settings::Limits;
use crate::shared::Shared;

/// Header with the caller's idempotency key.
const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Maximum length of the key of a request, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A request as its caller sent it, with the settings of the route that it matches.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) body: Bytes,
    /// Time that the caller waits, even if the route allows less.
    pub(crate) caller_timeout: Duration,
    pub(crate) content_type: Option<String>,
    pub(crate) headers: HeaderMap,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) is_idempotent: bool,
    /// Whether the route is open to callers without a tenant key.
    pub(crate) is_open: bool,
    pub(crate) key: Option<String>,
    /// Maximum number of upstreams that the request may be sent to, or `None` for the default of the retry policy.
    pub(crate) max_attempts: Option<u32>,
    pub(crate) method: String,
    pub(crate) path_and_query: String,
    /// Rank of the route, 0 for the most urgent.
    pub(crate) priority: u32,
    /// Name of the route.
    pub(crate) route: String,
    pub(crate) service: ServiceId,
    /// Target latency of the route, zero if it has none.
    pub(crate) target_latency: Duration,
    pub(crate) timeout: Duration,
}

impl CallerRequest {
    /// Parses a request and finds its route.
    pub(crate) fn parse(
        req: Request<Bytes>,
        plans: &Plans,
        shared: &Shared,
        traffic_splits: &TrafficSplits,
    ) -> Result<Self, Reason> {
        let (head, body) = req.into_parts();
        let dialect = &shared.dialect;
        let path_and_query = head.uri.path_and_query().ok_or(Reason::UnknownRoute)?;
        let matched = if plans.routes_by_host() {
            let host = host(&head).ok_or(Reason::UnknownRoute)?;
            match_by_host(plans, &host, path_and_query, traffic_splits)?
        } else {
            match_by_service(plans, head.method.as_str(), path_and_query.as_str())?
        };
        if !matched.is_upload && body.len() as u64 > shared.limits.body_bytes {
            return Err(Reason::BodyTooLarge);
        }
        let service_config = plans.services.get(&matched.service);
        let service_config = service_config.ok_or(Reason::UnknownRoute)?;
        let key = header(&head.headers, &dialect.key)?;
        if service_config.is_keyed() {
            check_key(key.as_deref(), service_config)?;
        }
        let caller_timeout = timeout(&head.headers, &dialect.deadline_ms, &shared.limits)?;
        Ok(Self {
            caller_timeout,
            max_attempts: matched.max_attempts,
            content_type: header(&head.headers, &CONTENT_TYPE)?,
            idempotency_key: match dialect.has_idempotency_keys {
                true => header(&head.headers, &IDEMPOTENCY_HEADER)?,
                false => None,
            },
            is_idempotent: matched.idempotent,
            is_open: matched.open,
            key: key.filter(|_| service_config.is_keyed()),
            method: head.method.as_str().to_owned(),
            path_and_query: matched.path_and_query,
            priority: matched.priority,
            route: matched.route,
            service: matched.service,
            target_latency: matched.target_latency,
            timeout: caller_timeout.min(matched.timeout),
            headers: head.headers,
            body,
        })
    }

    /// Returns the headers that are forwarded to the upstream unchanged.
    pub(crate) fn forwarded_headers(&self, dialect: &Dialect) -> Vec<Header> {
        let mut set_by_router = vec![
            &AUTHORIZATION,
            &CONTENT_TYPE,
            &EXPECT,
            &dialect.deadline_ms,
            &dialect.request_id,
            &dialect.workspace,
        ];
        set_by_router.extend(&dialect.caller_service);
        set_by_router.extend(&dialect.target_instance);
        set_by_router.extend(self.key.as_ref().map(|_| &dialect.key));
        let hop_by_hop_headers: Vec<HeaderName> = hop_by_hop_headers(&self.headers).collect();
        let is_forwarded = |name: &HeaderName| {
            !set_by_router.contains(&name) && !hop_by_hop_headers.contains(name)
        };
        let headers = self.headers.iter();
        headers
            .filter(|(name, _)| is_forwarded(name))
            .map(|(name, value)| {
                let value = Bytes::copy_from_slice(value.as_bytes());
                Header::new(name.as_str().to_owned(), value)
            })
            .collect()
    }

    /// Checks that the idempotency key, if there is one, is a UUID of version 7.
    pub(crate) fn check_idempotency_key(&self, workspace: &str) -> Result<(), Reason> {
        let Some(key) = &self.idempotency_key else {
            return Ok(());
        };
        match IdempotencyKey::parse(workspace.to_owned(), key) {
            Some(_) => Ok(()),
            None => Err(Reason::BadHeader),
        }
    }

    /// Returns the fields of the request that routing and retry decisions depend on.
    pub(crate) fn head(&self, id: RequestId, now: Duration) -> RequestHead {
        RequestHead {
            deadline: now + self.timeout,
            id,
            idempotency_key: self.idempotency_key.clone(),
            idempotent: self.is_idempotent,
            key: self.key.clone(),
            max_attempts: self.max_attempts,
            method: self.method.clone(),
            path: self.path_and_query.clone(),
            service: self.service.clone(),
        }
    }

    /// Returns the fingerprint of the request's content.
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

/// Splits `/SERVICE/PATH` into the name of the service and the path with its leading slash.
fn split_service(path_and_query: &str) -> Option<(&str, &str)> {
    let rest = path_and_query.strip_prefix('/')?;
    let slash = rest.find('/')?;
    Some(rest.split_at(slash))
}

/// Settings of the route that a request matches, with the path that the upstream gets.
struct MatchedRoute {
    idempotent: bool,
    /// Whether the request uploads a large body.
    is_upload: bool,
    max_attempts: Option<u32>,
    open: bool,
    path_and_query: String,
    priority: u32,
    route: String,
    service: ServiceId,
    target_latency: Duration,
    timeout: Duration,
}

fn match_by_service(
    plans: &Plans,
    method: &str,
    path_and_query: &str,
) -> Result<MatchedRoute, Reason> {
    let (service, rest) = split_service(path_and_query).ok_or(Reason::UnknownRoute)?;
    let service_config = plans.services.get(service).ok_or(Reason::UnknownRoute)?;
    let path = rest.split('?').next().unwrap_or(rest);
    let route = service_config
        .route(method, path)
        .ok_or(Reason::UnknownRoute)?;
    Ok(MatchedRoute {
        idempotent: route.idempotent,
        is_upload: route.upload,
        max_attempts: None,
        open: route.open,
        path_and_query: rest.to_owned(),
        priority: 0,
        route: service.to_owned(),
        service: service.to_owned(),
        target_latency: Duration::ZERO,
        timeout: Duration::MAX,
    })
}

fn match_by_host(
    plans: &Plans,
    host: &str,
    path_and_query: &PathAndQuery,
    traffic_splits: &TrafficSplits,
) -> Result<MatchedRoute, Reason> {
    let route = match plans.host_route(host, path_and_query.path()) {
        HostRouteMatch::Absent => return Err(Reason::UnknownRoute),
        HostRouteMatch::Found(route) => route,
        HostRouteMatch::Unreadable => return Err(Reason::Unconfigured),
    };
    let service = traffic_splits
        .next_service(host, route)
        .ok_or(Reason::UnknownRoute)?;
    Ok(MatchedRoute {
        idempotent: route.idempotent,
        is_upload: route.upload,
        max_attempts: Some(route.attempts),
        open: route.open,
        path_and_query: path_and_query.as_str().to_owned(),
        priority: route.priority,
        route: route.name.clone(),
        service,
        target_latency: route.target_latency(),
        timeout: route.timeout(),
    })
}

/// Returns the host name of a request in lower case, without a port.
fn host(head: &Parts) -> Option<String> {
    let name_and_port = match head.uri.authority() {
        Some(authority) => authority.host().to_owned(),
        None => head.headers.get(HOST)?.to_str().ok()?.to_owned(),
    };
    Some(host_name(&name_and_port))
}

fn header(headers: &HeaderMap, name: &HeaderName) -> Result<Option<String>, Reason> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Reason::BadHeader)?;
    Ok(Some(text.to_owned()))
}

fn check_key(key: Option<&str>, service_config: &Service) -> Result<(), Reason> {
    let key = key.ok_or(Reason::BadHeader)?;
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !service_config.accepts_key(key) {
        return Err(Reason::BadHeader);
    }
    Ok(())
}

fn timeout(headers: &HeaderMap, name: &HeaderName, limits: &Limits) -> Result<Duration, Reason> {
    let Some(text) = header(headers, name)? else {
        return Ok(limits.default_deadline());
    };
    match whole_milliseconds(&text) {
        Some(0) => Err(Reason::DeadlinePassed),
        Some(milliseconds) => Ok(Duration::from_millis(milliseconds).min(limits.max_deadline())),
        None => Err(Reason::BadHeader),
    }
}

/// Parses a decimal number, and drops its fraction.
fn whole_milliseconds(text: &str) -> Option<u64> {
    let is_number =
        |digits: &str| !digits.is_empty() && digits.bytes().all(|digit| digit.is_ascii_digit());
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    if !is_number(whole) || !is_number(fraction) {
        return None;
    }
    whole.parse().ok()
}
