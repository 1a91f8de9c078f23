//! Names of hosts in requests.

/// Returns the host name of a `Host` header or an authority in lower case, without a port.
pub(crate) fn host_name(name_and_port: &str) -> String {
    let name = name_and_port.split(':').next().unwrap_or(name_and_port);
    name.to_ascii_lowercase()
}
