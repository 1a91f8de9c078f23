//! Class of a request in a queue.

/// Class of a request among those of equal rank. The most urgent class comes first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum RequestClass {
    /// Call of a running request that may not run again, so that its work is lost without the call.
    CallOfUnrepeatable,
    /// Call of a running request that may run again.
    CallOfRepeatable,
    /// Request that no running request waits for.
    #[default]
    NewWork,
}

impl RequestClass {
    /// Returns the class of a call, given whether its parent may run again.
    pub fn of_call(is_parent_repeatable: bool) -> Self {
        match is_parent_repeatable {
            true => Self::CallOfRepeatable,
            false => Self::CallOfUnrepeatable,
        }
    }

    /// Reports whether a running request waits for the answer.
    pub fn is_call(self) -> bool {
        self != Self::NewWork
    }
}
