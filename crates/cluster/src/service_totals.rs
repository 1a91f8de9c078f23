//! Totals of a service, of which each member has a fair share.

/// Units of a service, and the capacity of the members that may receive them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTotals {
    /// Total capacity, in slots.
    pub(crate) capacity: f64,
    pub(crate) units: f64,
}

impl ServiceTotals {
    /// Returns the fair share of a member with `capacity` in units of its service, with all units weighted equally.
    pub(crate) fn fair_unit_count(&self, capacity: f64) -> f64 {
        self.units * capacity / self.capacity.max(1.0)
    }
}
