//! Warm-up of an upstream after a cold start.

/// Capacity of an upstream as a function of the time since its cold start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUp {
    pub(crate) slots: u32,
    pub(crate) started_ms: u64,
    pub(crate) warm_ms: u64,
}

impl WarmUp {
    /// Returns the number of requests that can run concurrently, which grows linearly from 1 at the start to all slots
    /// after `warm_ms`.
    pub(crate) fn capacity(self, now_ms: u64) -> u32 {
        let age_ms = now_ms.saturating_sub(self.started_ms);
        if age_ms >= self.warm_ms {
            return self.slots;
        }
        let additional_slots = u64::from(self.slots.saturating_sub(1)) * age_ms / self.warm_ms;
        1 + u32::try_from(additional_slots).expect("the result is less than `slots`")
    }
}
