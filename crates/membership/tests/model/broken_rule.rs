//! BrokenRule rules, to show that the check finds them.

/// A rule that the model breaks by changing messages or records on their way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BrokenRule {
    /// Nothing is broken.
    None,
    /// A lease counts from the answer in place of the heartbeat.
    LeaseCountsFromAnswer,
    /// The heir of a lost member does not wait.
    NoTakeoverWait,
    /// The former witnesses are released before the member has read who the new ones are.
    NoJointMajority,
    /// A witness goes on renewing after it has suspected.
    RenewsSuspected,
    /// The upstream's grants outlive the lease.
    GrantsOutliveLease,
    /// A move does not wait for running requests.
    NoDrain,
}
