//! What the head of an answer states about its upstream.

use http::HeaderMap;

use crate::Dialect;

/// Index of the time that work takes among the numbers of the load header.
const TIME_INDEX: usize = 3;

/// Value of that time on a machine of usual speed.
const USUAL_TIME_PERCENT: f64 = 100.0;

/// What the head of an answer states about the upstream that sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerHead {
    /// Whether the upstream states that it is about to stop.
    pub is_leaving: bool,
    /// Number of the answer. It increases in the order in which the answers of the upstream begin.
    pub number: u64,
    /// The limit that the upstream states on the rate of requests.
    pub rate_limit: RateLimitStatement,
    /// Speed of the machine relative to the usual one, `None` unless it is stated and can be read.
    pub stated_speed: Option<f64>,
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
            stated_speed: parse_speed(headers, dialect),
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

/// Returns the speed that the load header states. Its numbers are the running and the waiting requests, the slots, and the time
/// that work takes on the machine at this moment, with 100 as the usual value.
fn parse_speed(headers: &HeaderMap, dialect: &Dialect) -> Option<f64> {
    let mut values = headers.get_all(dialect.load.as_ref()?).iter();
    let value = values.next()?.to_str().ok()?;
    let is_number_part = |char: char| char.is_ascii_digit() || char == '.';
    let mut numbers = value.split(|char| !is_number_part(char));
    let mut numbers = numbers.by_ref().filter(|number| !number.is_empty());
    let time_percent: f64 = numbers.nth(TIME_INDEX)?.parse().ok()?;
    (values.next().is_none() && time_percent > 0.0).then(|| USUAL_TIME_PERCENT / time_percent)
}
