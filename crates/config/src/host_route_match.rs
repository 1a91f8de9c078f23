//! Result of the search for the route of a request.

use crate::HostRoute;

/// Result of the search for the route of a request by host and path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostRouteMatch<'a> {
    /// No route matches.
    Absent,
    /// The route with the longest matching prefix.
    Found(&'a HostRoute),
    /// The route with the longest matching prefix is declared but could not be read.
    Unreadable,
}
