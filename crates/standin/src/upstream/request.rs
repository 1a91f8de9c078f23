//! Request as received by the upstream stand-in.

use bytes::Bytes;
use http::Request;
use ids::Fence;
use ids::RequestId;
use ids::Unit;
use ids::WorkspaceId;

use crate::http::query_parameter;

/// Text that crashes the upstream when a request body contains it.
pub const POISON_MARKER: &str = "crash-this-upstream";

/// Parts of a request that the stand-in uses.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRequest {
    pub(crate) response_bytes: usize,
    pub(crate) body_hash: String,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) grant: Option<(Unit, Fence)>,
    pub(crate) id: RequestId,
    pub(crate) key: Option<String>,
    pub(crate) is_poisoned: bool,
    pub(crate) work_ms: Option<u64>,
    pub(crate) workspace: Option<WorkspaceId>,
}

impl UpstreamRequest {
    /// Parses a request, or returns a message that describes the error.
    pub(crate) fn parse(req: &Request<Bytes>) -> Result<Self, String> {
        let body = req.body();
        let marker = POISON_MARKER.as_bytes();
        let has_marker = body.windows(marker.len()).any(|window| window == marker);
        Ok(Self {
            response_bytes: test_parameter(req, "answer_bytes")?.unwrap_or(0),
            body_hash: blake3::hash(body).to_hex().to_string(),
            deadline_ms: parse_optional(header(req, "skylark-deadline-ms"), "skylark-deadline-ms")?,
            grant: parse_grant(req)?,
            id: header(req, "skylark-request-id")
                .ok_or("`skylark-request-id` is missing")?
                .to_owned(),
            key: header(req, "skylark-key").map(str::to_owned),
            is_poisoned: has_marker || header(req, "x-poison").is_some(),
            work_ms: test_parameter(req, "work_ms")?,
            workspace: header(req, "skylark-workspace").map(str::to_owned),
        })
    }
}

fn parse_grant(req: &Request<Bytes>) -> Result<Option<(Unit, Fence)>, String> {
    let unit = parse_optional(header(req, "skylark-unit"), "skylark-unit")?;
    let fence = parse_optional(header(req, "skylark-fence"), "skylark-fence")?;
    match (unit, fence) {
        (Some(unit), Some(fence)) => Ok(Some((unit, fence))),
        (None, None) => Ok(None),
        _ => Err("`skylark-unit` and `skylark-fence` come together".to_owned()),
    }
}

/// Returns a parameter set by a test, from the query, or else from the corresponding header: for
/// `work_ms`, that is `x-work-ms`.
fn test_parameter<T: std::str::FromStr>(
    req: &Request<Bytes>,
    name: &str,
) -> Result<Option<T>, String> {
    let header_name = format!("x-{}", name.replace('_', "-"));
    parse_optional(
        query_parameter(req, name).or_else(|| header(req, &header_name)),
        name,
    )
}

fn parse_optional<T: std::str::FromStr>(
    text: Option<&str>,
    name: &str,
) -> Result<Option<T>, String> {
    text.map(|text| text.parse().map_err(|_| format!("`{name}` is malformed")))
        .transpose()
}

fn header<'a>(req: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}
