//! Totals of a service, of which each member has a fair share.

use crate::Member;

/// Units of a service, and the slots of the members that may receive them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTotals {
    pub(crate) slots: u32,
    pub(crate) units: f64,
}

impl ServiceTotals {
    /// Returns the fair share of a member in units of its service, with all units weighted equally.
    pub(crate) fn fair_unit_count(&self, member: &Member) -> f64 {
        self.units * f64::from(member.join.slots) / f64::from(self.slots.max(1))
    }
}
