//! Durations as text with a unit.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;

/// Parses a duration such as `1500ms` or `2.5s`. Returns `None` if the text is no such duration.
pub fn parse(text: &str) -> Option<Duration> {
    let (number, unit_s) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let number: f64 = number.parse().ok()?;
    Duration::try_from_secs_f64(number * unit_s).ok()
}

/// Deserializes a duration from text.
///
/// # Errors
///
/// Returns an error when the text is no duration.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    parse_field(&String::deserialize(deserializer)?)
}

/// Deserializes an optional duration from text.
///
/// # Errors
///
/// Returns an error when there is a text that is no duration.
pub fn deserialize_option<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Duration>, D::Error> {
    let text = Option::<String>::deserialize(deserializer)?;
    text.map(|text| parse_field(&text)).transpose()
}

fn parse_field<E: Error>(text: &str) -> Result<Duration, E> {
    parse(text).ok_or_else(|| E::custom(format!("`{text}` is no time such as `1500ms`")))
}

/// Serializes a duration as text, in whole milliseconds.
///
/// # Errors
///
/// Returns an error of the serializer.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&format!("{}ms", duration.as_millis()))
}
