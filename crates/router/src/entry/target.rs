//! The home that a request is sent to.

use std::net::SocketAddr;

use cluster::Fleet;
use ids::Fence;
use ids::Unit;
use ids::VmId;

/// A home that a request is sent to.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    /// Unit and fence under which the request runs, or `None` for services without keys.
    pub(crate) grant: Option<(Unit, Fence)>,
    pub(crate) vm: VmId,
}

impl Target {
    /// Returns the home that owns a key.
    pub(crate) fn owner(fleet: &Fleet, service: &String, key: &str) -> Option<Self> {
        let unit = fleet.unit_of(service, key)?;
        let ownership = fleet.owner(&unit)?;
        let member = fleet.members().get(&ownership.vm)?;
        Some(Self {
            address: member.join.peer,
            vm: ownership.vm.clone(),
            grant: Some((unit, ownership.fence)),
        })
    }

    /// Returns the home on a member, for a service without keys.
    pub(crate) fn member(fleet: &Fleet, vm: &VmId) -> Option<Self> {
        let member = fleet.members().get(vm)?;
        Some(Self {
            address: member.join.peer,
            grant: None,
            vm: vm.clone(),
        })
    }
}
