//! What the head of an answer states about its upstream.

use http::HeaderMap;

use crate::Dialect;

/// What the head of an answer states about the upstream that sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerHead {
    /// Whether the upstream states that it is about to stop.
    pub is_leaving: bool,
    /// Number of the answer. It increases in the order in which the answers of the upstream begin.
    pub number: u64,
    /// The limit that the upstream states on the rate of requests.
    pub rate_limit: RateLimitStatement,
}

/// What an answer states about the rate of requests that its upstream accepts.
#[derive(Clone, Debug, PartialEq)]
pub enum RateLimitStatement {
    /// It has no limit.
    Absent,
    /// Its limit cannot be read. Holds all values of the header.
    Invalid(String),
    /// The upstream accepts this number of requests per second, which is finite and at least 0.
    RequestsPerSecond(f64),
}

impl AnswerHead {
    pub(crate) fn new(number: u64, headers: &HeaderMap, dialect: &Dialect) -> Self {
        let mut leaving = headers.get_all(&dialect.leaving).iter();
        Self {
            is_leaving: leaving.any(|value| value.as_bytes() == b"1"),
            number,
            rate_limit: RateLimitStatement::parse(headers, dialect),
        }
    }
}

impl RateLimitStatement {
    fn parse(headers: &HeaderMap, dialect: &Dialect) -> Self {
        let values = headers.get_all(&dialect.rate_limit).iter();
        let values = values.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned());
        let values: Vec<_> = values.collect();
        match values.as_slice() {
            [] => Self::Absent,
            [value] => match parse_rate(value) {
                Some(rate) => Self::RequestsPerSecond(rate),
                None => Self::Invalid(value.clone()),
            },
            values => Self::Invalid(values.join(", ")),
        }
    }
}

/// Parses a decimal number of requests per second, without sign or exponent.
fn parse_rate(text: &str) -> Option<f64> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let rate: f64 = text.parse().ok().filter(|_| is_decimal)?;
    rate.is_finite().then_some(rate)
}
