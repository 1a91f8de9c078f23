//! What became of a request.

/// Answer of a home to an entry that asks what became of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StatusReply<A> {
    /// The request was answered.
    Answered(A),
    /// The memory is full, so that the request can't be barred: the entry asks again.
    Full,
    /// Whether the request ran cannot be known.
    Lost,
    /// The home has not run the request and will not.
    Barred,
    /// The request runs or waits to run.
    Running,
}
