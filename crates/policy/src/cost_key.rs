//! Kind of a request by which its cost is learned.

use ids::Unit;

/// Ratio of the sizes of bodies of neighbouring classes, as a power of two.
const SIZE_CLASS_BITS: u32 = 2;

/// Kind of a request by which its cost is learned: its route, the size of its body and, for services with keys, its unit. The
/// default is the kind of all requests.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct CostKey {
    route: Option<String>,
    size_class: Option<u32>,
    unit: Option<Unit>,
}

impl CostKey {
    /// Returns the kind of a request on `route` with a body of `body_bytes`.
    pub fn new(route: &str, body_bytes: usize, unit: Option<Unit>) -> Self {
        // Classes are powers of four: 0, 1 to 3, 4 to 15 bytes, and so on.
        let bits = usize::BITS - body_bytes.leading_zeros();
        Self {
            route: Some(route.to_owned()),
            size_class: Some(bits.div_ceil(SIZE_CLASS_BITS)),
            unit,
        }
    }

    /// Returns the kind and those that include it, from the finest to the one of all requests.
    pub(crate) fn levels(&self) -> impl Iterator<Item = Self> + use<> {
        std::iter::successors(Some(self.clone()), Self::coarser)
    }

    /// Returns the next coarser kind, or `None` for the kind of all requests.
    fn coarser(&self) -> Option<Self> {
        let mut coarser = self.clone();
        if coarser.unit.take().is_some()
            || coarser.size_class.take().is_some()
            || coarser.route.take().is_some()
        {
            return Some(coarser);
        }
        None
    }
}
