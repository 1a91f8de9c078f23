//! Lookup of the owner of a key through a daemon's operator API.

use anyhow::Context;
use anyhow::Result;
use serde::Deserialize;
use standin::Fleet;

/// The unit that a key belongs to, and the VM that owns the unit.
#[derive(Debug, Deserialize)]
pub(crate) struct KeyOwner {
    owner: Option<Ownership>,
    /// Name of the unit.
    pub(crate) unit: String,
}

#[derive(Debug, Deserialize)]
struct Ownership {
    vm: String,
}

impl KeyOwner {
    /// Queries the daemon on `vm` for the owner of a key.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon does not respond, or its response cannot be parsed.
    pub(crate) fn fetch(fleet: &Fleet, vm: &str, service: &str, key: &str) -> Result<Self> {
        let operator = fleet.addresses(vm)?.operator;
        let url = format!("http://{operator}/v1/owner?service={service}&key={key}");
        let response = ureq::get(url)
            .call()
            .context("failed to query the owner of the key")?;
        Ok(response.into_body().read_json()?)
    }

    /// Returns the VM that owns the unit, if any.
    pub(crate) fn vm(&self) -> Option<&str> {
        self.owner.as_ref().map(|owner| owner.vm.as_str())
    }
}
