//! The unit under which a request starts.

use ids::Unit;
use policy::Reason;

use crate::home::waiting_request::WaitingRequest;
use crate::view::View;

/// A unit that owns the key of a request at this moment and that this process serves.
///
/// The unit of a key changes while requests wait: a shard's key may be pinned and then moved. A request starts only with
/// this value, which [`GrantedUnit::verify`] alone creates, so that none starts under the unit of an earlier moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct GrantedUnit(Unit);

impl GrantedUnit {
    /// Returns the unit of a request, or `None` if its service has no keys.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::NotOwner`] if the key now belongs to another unit than the one that the request was sent for, or
    /// if this process does not serve that unit under the same fence.
    pub(crate) fn verify(view: &View, waiting: &WaitingRequest) -> Result<Option<Self>, Reason> {
        let Some((unit, fence)) = &waiting.grant else {
            return Ok(None);
        };
        let current = match &waiting.key {
            Some(key) => view.fleet.unit_of(&waiting.service, key),
            None => Some(unit.clone()),
        };
        if current.as_ref() != Some(unit) || view.serving.get(unit) != Some(fence) {
            return Err(Reason::NotOwner);
        }
        Ok(Some(Self(unit.clone())))
    }

    pub(crate) fn unit(&self) -> &Unit {
        &self.0
    }
}
