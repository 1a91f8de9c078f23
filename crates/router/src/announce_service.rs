//! The HTTP interface for announcements of the local upstream.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use httpd::Handler;
use httpd::RefusalReason;
use membership::Event;
use upstream::Announcement;

use crate::control::ControlSender;
use crate::json_response::json_response;
use crate::shared::Shared;

/// Path of announcements.
const ANNOUNCE_PATH: &str = "/v1/announce";

/// Receives announcements of the local upstream, and passes them to the control thread.
pub(crate) struct AnnounceService {
    pub(crate) control: ControlSender,
    pub(crate) shared: Arc<Shared>,
}

impl Handler for AnnounceService {
    async fn handle(&self, req: Request<Bytes>) -> Response<Bytes> {
        if req.method() != Method::POST || req.uri().path() != ANNOUNCE_PATH {
            let body = serde_json::json!({ "error": "there is only POST /v1/announce here" });
            return json_response(StatusCode::NOT_FOUND, &body);
        }
        match Announcement::parse(req.body()) {
            Ok(announcement) => self.announce(announcement),
            Err(error) => {
                let body = serde_json::json!({ "error": error.to_string() });
                json_response(StatusCode::BAD_REQUEST, &body)
            }
        }
    }

    fn refuse(&self, reason: RefusalReason) -> Response<Bytes> {
        let body = serde_json::json!({ "error": reason.to_string() });
        json_response(StatusCode::BAD_REQUEST, &body)
    }
}

impl AnnounceService {
    fn announce(&self, announcement: Announcement) -> Response<Bytes> {
        let view = self.shared.view();
        let accepted_instance = view.upstream.as_ref().map(|upstream| &upstream.instance);
        let is_accepted = accepted_instance == Some(&announcement.instance);
        self.control
            .send_event(Event::Announced(membership::Announcement {
                address: announcement.address,
                checks_grants: announcement.checks_orders,
                connections: announcement.connections,
                instance: announcement.instance,
                polls_grants: false,
                service: announcement.service,
                slots: announcement.slots,
                started_unix_ms: 0,
                version: String::new(),
            }));
        let body = serde_json::json!({ "accepted": is_accepted });
        let status = if is_accepted {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        json_response(status, &body)
    }
}
