//! Reply to a query for the status of a request.

/// Reply of a home to an entry that queries the status of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StatusReply<A> {
    /// The request was answered.
    Answered(A),
    /// The memory is full, so the request can't be barred. The entry has to query again.
    Full,
    /// It cannot be known whether the request ran.
    Lost,
    /// The home does not know the request and will never run it.
    Barred,
    /// The request runs or waits to run.
    Running,
}
