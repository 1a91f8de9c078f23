//! Responses with a JSON body.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Serialize;

/// Returns a response with a JSON body.
pub(crate) fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response<Bytes> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Bytes::from(bytes));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
