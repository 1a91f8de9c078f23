//! Addresses that a process listens on.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;

/// Addresses that a process listens on, each an IP address with a port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    /// Address for the local upstream.
    #[serde(deserialize_with = "ip_and_port")]
    pub announce: SocketAddr,
    /// Address for callers.
    #[serde(deserialize_with = "ip_and_port")]
    pub caller: SocketAddr,
    /// Address at which metrics are served. Absent if they are not served.
    #[serde(default, deserialize_with = "optional_ip_and_port")]
    pub metrics: Option<SocketAddr>,
    /// Address for operators.
    #[serde(deserialize_with = "ip_and_port")]
    pub operator: SocketAddr,
    /// Address for peers, over both TCP and UDP.
    #[serde(deserialize_with = "ip_and_port")]
    pub peer: SocketAddr,
}

impl Addresses {
    /// Returns all addresses, each with the name of its field.
    pub(crate) fn with_field_names(&self) -> impl Iterator<Item = (&'static str, SocketAddr)> {
        let metrics = self.metrics.map(|address| ("addresses.metrics", address));
        [
            ("addresses.announce", self.announce),
            ("addresses.caller", self.caller),
            ("addresses.operator", self.operator),
            ("addresses.peer", self.peer),
        ]
        .into_iter()
        .chain(metrics)
    }
}

fn ip_and_port<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
    parse(&String::deserialize(deserializer)?)
}

fn optional_ip_and_port<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<SocketAddr>, D::Error> {
    let text = Option::<String>::deserialize(deserializer)?;
    text.map(|text| parse(&text)).transpose()
}

fn parse<E: Error>(text: &str) -> Result<SocketAddr, E> {
    text.parse().map_err(|_| {
        E::custom(format!(
            "`{text}` is not an IP address with a port, such as `10.0.0.1:7000`"
        ))
    })
}
