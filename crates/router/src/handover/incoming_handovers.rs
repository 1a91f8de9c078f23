//! State of units that are on their way to this process.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cluster::UnitFence;
use ids::Fence;
use ids::Unit;

use crate::handover::HandoverContents;
use crate::handover::HandoverState;

/// State of units that are on their way to this process, and the moves that bring them.
///
/// An owner may pass states on and then keep the unit. So states counts only if the log has a move away from the
/// ownership that the states is from.
#[derive(Debug, Default)]
pub(crate) struct IncomingHandovers {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    states: BTreeMap<Unit, HandoverState>,
    moves: BTreeMap<Unit, Moved>,
}

/// A move of a unit to this process.
#[derive(Clone, Copy, Debug)]
struct Moved {
    fence: Fence,
    from_fence: Fence,
}

impl IncomingHandovers {
    /// Takes in the states of a unit, and tells whether it can be read.
    pub(crate) fn insert(&self, unit: Unit, bytes: &[u8]) -> bool {
        let Ok(states) = serde_json::from_slice(bytes) else {
            return false;
        };
        self.lock().states.insert(unit, states);
        true
    }

    /// Takes in that the log has a move of units to this process, which may yet turn out to have no effect.
    pub(crate) fn record_move(&self, fence: Fence, units: &[UnitFence]) {
        let mut state = self.lock();
        for moved in units {
            let from_fence = moved.fence;
            state
                .moves
                .insert(moved.unit.clone(), Moved { fence, from_fence });
        }
    }

    /// Takes out what came with a unit that this process owns under `fence`, if it came by a move.
    pub(crate) fn take(&self, unit: &Unit, fence: Fence) -> Option<HandoverContents> {
        let mut state = self.lock();
        let states = state.states.remove(unit);
        let moved = state
            .moves
            .remove(unit)
            .filter(|moved| moved.fence == fence)?;
        let states = states.filter(|states| states.fence == moved.from_fence)?;
        Some(states.contents)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
