//! The owner of a key, as a daemon reports it.

use anyhow::Context;
use anyhow::Result;
use serde::Deserialize;
use standin::Fleet;

/// The unit that a key belongs to, and the VM that owns it.
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
    /// Asks a VM for the owner of a key.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon of the VM does not answer.
    pub(crate) fn fetch(fleet: &Fleet, vm: &str, service: &str, key: &str) -> Result<Self> {
        let operator = fleet.addresses(vm)?.operator;
        let url = format!("http://{operator}/v1/owner?service={service}&key={key}");
        let answer = ureq::get(url).call().context("no owner was reported")?;
        Ok(answer.into_body().read_json()?)
    }

    /// Returns the VM that owns the unit.
    pub(crate) fn vm(&self) -> Option<&str> {
        self.owner.as_ref().map(|owner| owner.vm.as_str())
    }
}
