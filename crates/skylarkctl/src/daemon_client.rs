//! Queries to the operator interface of a process.

use std::time::Duration;

use serde_json::Value;
use ureq::Agent;

use crate::failure::Failure;

/// Client of the operator interface of a process.
pub(crate) struct DaemonClient<'a> {
    pub(crate) address: &'a str,
    pub(crate) timeout: Duration,
}

impl DaemonClient<'_> {
    pub(crate) fn status(&self) -> Result<Value, Failure> {
        self.get("/v1/status")
    }

    pub(crate) fn owner(&self, service: &str, key: &str) -> Result<Value, Failure> {
        let (service, key) = (encode(service), encode(key));
        self.get(&format!("/v1/owner?service={service}&key={key}"))
    }

    pub(crate) fn explain(&self, request_id: &str) -> Result<Value, Failure> {
        self.get(&format!("/v1/explain/{}", encode(request_id)))
    }

    fn get(&self, path: &str) -> Result<Value, Failure> {
        let failure = |error: ureq::Error| Failure::DaemonUnreachable {
            address: self.address.to_owned(),
            reason: error.to_string(),
        };
        let agent: Agent = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(self.timeout))
            .build()
            .into();
        let address = self.address.trim_start_matches("http://");
        let url = format!("http://{address}{path}");
        let mut res = agent.get(url).call().map_err(failure)?;
        let is_success = res.status().is_success();
        let answer: Value = res.body_mut().read_json().map_err(failure)?;
        if is_success {
            return Ok(answer);
        }
        let reason = answer["error"].as_str().unwrap_or("no reason was given");
        Err(Failure::Refused(reason.to_owned()))
    }
}

/// Percent-encodes text as one component of a URL.
fn encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded += &format!("%{byte:02X}");
        }
    }
    encoded
}
