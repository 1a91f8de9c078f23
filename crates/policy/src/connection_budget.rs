//! Limit of the connections to an upstream.

/// Purpose of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPurpose {
    /// Grants, probes and cancellations.
    Control,
    /// Requests from callers.
    Request,
}

/// Limit of the connections that a home has open to its upstream.
///
/// Some connections are reserved for control, so that requests never delay a grant or a cancellation.
#[derive(Clone, Debug)]
pub struct ConnectionBudget {
    limit: u32,
    open: u32,
    reserved: u32,
}

impl ConnectionBudget {
    /// Creates a budget of `limit` connections, of which `reserved` are for control.
    pub fn new(limit: u32, reserved: u32) -> Self {
        Self {
            limit,
            open: 0,
            reserved: reserved.min(limit),
        }
    }

    /// Records a new connection if the budget allows it, and returns whether it does.
    pub fn try_open(&mut self, purpose: ConnectionPurpose) -> bool {
        let allowed = match purpose {
            ConnectionPurpose::Control => self.limit,
            ConnectionPurpose::Request => self.limit - self.reserved,
        };
        let opens = self.open < allowed;
        self.open += u32::from(opens);
        opens
    }

    /// Records that a connection is closed.
    pub fn close(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Replaces the limit; connections above it are not closed.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
        self.reserved = self.reserved.min(limit);
    }
}
