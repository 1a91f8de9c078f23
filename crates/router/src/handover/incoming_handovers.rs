//! State received for units that are moving to this process.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cluster::UnitFence;
use ids::Fence;
use ids::Unit;

use crate::handover::HandoverContents;
use crate::handover::HandoverState;

/// Holds the state received for units that are moving to this process, and the moves read from the log.
///
/// An owner may send the state of a unit and then keep the unit. The state is therefore used only if the log has a move
/// of the unit to this process, away from the fence under which the state was exported.
#[derive(Debug, Default)]
pub(crate) struct IncomingHandovers {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    handovers: BTreeMap<Unit, HandoverState>,
    moves: BTreeMap<Unit, IncomingMove>,
}

/// A move of a unit to this process.
#[derive(Clone, Copy, Debug)]
struct IncomingMove {
    fence: Fence,
    from_fence: Fence,
}

impl IncomingHandovers {
    /// Stores the encoded state of a unit, and reports whether it could be decoded.
    pub(crate) fn insert(&self, unit: Unit, bytes: &[u8]) -> bool {
        let Ok(state) = serde_json::from_slice(bytes) else {
            return false;
        };
        self.lock().handovers.insert(unit, state);
        true
    }

    /// Records that the log has a move of units to this process. The move may still turn out to have no effect.
    pub(crate) fn record_move(&self, fence: Fence, units: &[UnitFence]) {
        let mut state = self.lock();
        for moved in units {
            let from_fence = moved.fence;
            state
                .moves
                .insert(moved.unit.clone(), IncomingMove { fence, from_fence });
        }
    }

    /// Removes and returns the state received for a unit that this process owns under `fence`.
    ///
    /// Returns `None` if the process did not get the unit by a move, or if the state was exported under a fence other
    /// than the one that the move ended.
    pub(crate) fn take(&self, unit: &Unit, fence: Fence) -> Option<HandoverContents> {
        let mut state = self.lock();
        let handover = state.handovers.remove(unit);
        let moved = state
            .moves
            .remove(unit)
            .filter(|moved| moved.fence == fence)?;
        let handover = handover.filter(|handover| handover.fence == moved.from_fence)?;
        Some(handover.contents)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
