//! Limits on requests, queues and timing of a process.

use std::time::Duration;

use serde::Deserialize;

use crate::clock::milliseconds;
use crate::duration_text;
use crate::settings::SettingsError;
use crate::settings::range::check_range;

/// Limits on requests, queues and timing of a process. Each field name contains its unit.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of an upstream's answer, in bytes.
    pub answer_bytes: u64,
    /// Maximum size of the body of a caller's request that is not an upload, in bytes.
    pub body_bytes: u64,
    /// Maximum number of open connections of callers.
    pub caller_connections: u64,
    /// Deadline of a request that does not set one, in milliseconds.
    pub default_deadline_ms: u64,
    /// Time for which an upstream still gets requests after it has announced its stop, in milliseconds.
    pub drain_ms: u64,
    /// Time after which nothing is started any more in an availability zone that operators have taken out of service, as text
    /// with its unit, such as `5s`.
    #[serde(deserialize_with = "duration_text::deserialize")]
    pub evacuation_timeout: Duration,
    /// Maximum size of the head of a caller's request, in bytes.
    pub header_bytes: u64,
    /// Time that a caller has to send the head of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum total size of the answers that are being received from the local upstream, in bytes. Answers beyond it are
    /// dropped as too large.
    pub home_answer_bytes: u64,
    /// Maximum total size of the bodies of requests that wait for the local upstream or run on it, in bytes. Further
    /// requests are refused as not run.
    pub home_body_bytes: u64,
    /// Number of recent requests whose decisions are kept for operators.
    pub kept_decisions: u64,
    /// Maximum deadline that a caller may set, in milliseconds.
    pub max_deadline_ms: u64,
    /// Share of a request's remaining time that it may wait for the local upstream, in percent.
    pub queue_percent: u64,
    /// Maximum number of requests that wait for the local upstream.
    pub queue_requests: u64,
    /// Time that a caller has to send a whole request, in milliseconds.
    pub request_timeout_ms: u64,
    /// Maximum duration of a graceful stop as text with its unit, such as `6s`, in place of `stop_timeout_ms`.
    #[serde(deserialize_with = "duration_text::deserialize_option")]
    pub stop_timeout: Option<Duration>,
    /// Maximum duration of a graceful stop, in milliseconds.
    pub stop_timeout_ms: u64,
    /// Number of threads that handle traffic.
    pub traffic_threads: u64,
    /// Maximum size of the body of an upload, in bytes, at least `body_bytes`.
    pub upload_bytes: u64,
    /// Maximum time that an upstream takes to warm up, in milliseconds.
    pub warm_up_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            answer_bytes: 1 << 20,
            body_bytes: 1 << 20,
            caller_connections: 1000,
            default_deadline_ms: 5_000,
            drain_ms: 1_500,
            evacuation_timeout: Duration::from_secs(5),
            header_bytes: 32 << 10,
            header_timeout_ms: 5_000,
            home_answer_bytes: 32 << 20,
            home_body_bytes: 32 << 20,
            kept_decisions: 5_000,
            max_deadline_ms: 30_000,
            queue_percent: 100,
            queue_requests: 1000,
            request_timeout_ms: 15_000,
            stop_timeout: None,
            stop_timeout_ms: 30_000,
            traffic_threads: 2,
            upload_bytes: 2 << 20,
            warm_up_ms: 2_000,
        }
    }
}

impl Limits {
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        let ranges = [
            ("limits.answer_bytes", self.answer_bytes, 1 << 10, 3 << 20),
            ("limits.body_bytes", self.body_bytes, 1 << 10, 3 << 20),
            (
                "limits.caller_connections",
                self.caller_connections,
                1,
                10_000,
            ),
            (
                "limits.default_deadline_ms",
                self.default_deadline_ms,
                10,
                self.max_deadline_ms,
            ),
            ("limits.drain_ms", self.drain_ms, 0, 60_000),
            (
                "limits.evacuation_timeout",
                milliseconds(self.evacuation_timeout),
                1_000,
                600_000,
            ),
            ("limits.header_bytes", self.header_bytes, 8 << 10, 256 << 10),
            (
                "limits.header_timeout_ms",
                self.header_timeout_ms,
                10,
                60_000,
            ),
            (
                "limits.home_answer_bytes",
                self.home_answer_bytes,
                self.answer_bytes,
                1 << 30,
            ),
            (
                "limits.home_body_bytes",
                self.home_body_bytes,
                self.upload_bytes,
                1 << 32,
            ),
            ("limits.kept_decisions", self.kept_decisions, 1, 1_000_000),
            ("limits.max_deadline_ms", self.max_deadline_ms, 10, 300_000),
            ("limits.queue_percent", self.queue_percent, 1, 100),
            ("limits.queue_requests", self.queue_requests, 1, 100_000),
            (
                "limits.request_timeout_ms",
                self.request_timeout_ms,
                10,
                300_000,
            ),
            (
                "limits.stop_timeout",
                milliseconds(self.stop_timeout()),
                100,
                600_000,
            ),
            ("limits.stop_timeout_ms", self.stop_timeout_ms, 100, 600_000),
            ("limits.traffic_threads", self.traffic_threads, 1, 64),
            (
                "limits.upload_bytes",
                self.upload_bytes,
                self.body_bytes,
                3 << 20,
            ),
            ("limits.warm_up_ms", self.warm_up_ms, 1, 600_000),
        ];
        for (field, value, lowest, highest) in ranges {
            check_range(field, value, lowest, highest)?;
        }
        Ok(())
    }

    /// Returns the deadline of a request that does not set one.
    pub fn default_deadline(&self) -> Duration {
        Duration::from_millis(self.default_deadline_ms)
    }

    /// Returns the time for which an upstream still gets requests after it has announced its stop.
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Returns the time that a caller has to send the head of a request.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    /// Returns the time that a caller has to send a whole request.
    pub fn request_timeout(&self) -> Duration {
        Duration::from_millis(self.request_timeout_ms)
    }

    /// Returns the maximum deadline that a caller may set.
    pub fn max_deadline(&self) -> Duration {
        Duration::from_millis(self.max_deadline_ms)
    }

    /// Returns the maximum time that an upstream takes to warm up.
    pub fn warm_up(&self) -> Duration {
        Duration::from_millis(self.warm_up_ms)
    }

    /// Returns the part of a graceful stop in which units may be moved. The rest is left for the last answers.
    pub(crate) fn move_timeout(&self) -> Duration {
        self.stop_timeout() * 11 / 12
    }

    /// Returns the maximum duration of a graceful stop.
    pub fn stop_timeout(&self) -> Duration {
        let in_ms = Duration::from_millis(self.stop_timeout_ms);
        self.stop_timeout.unwrap_or(in_ms)
    }
}
