//! The cold-start curve.

/// What an upstream bears after its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUp {
    pub(crate) slots: u32,
    pub(crate) started_ms: u64,
    pub(crate) warm_ms: u64,
}

impl WarmUp {
    /// Returns how many requests it bears at once: 1 at the start, and then evenly more up to all slots.
    pub(crate) fn capacity(self, now_ms: u64) -> u32 {
        let age_ms = now_ms.saturating_sub(self.started_ms);
        if age_ms >= self.warm_ms {
            return self.slots;
        }
        let grown = u64::from(self.slots.saturating_sub(1)) * age_ms / self.warm_ms;
        1 + u32::try_from(grown).expect("a part of the slots fits in their type")
    }
}
