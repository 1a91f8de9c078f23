//! Rules that tests break on purpose, to show that the model detects violations.

/// A rule that the simulation breaks by changing events, actions or records in transit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BrokenRule {
    /// No rule is broken.
    None,
    /// A lease counts from the answer instead of the heartbeat.
    LeaseCountsFromAnswer,
    /// The next owner of a lost member's units does not wait.
    NoTakeoverWait,
    /// The former witnesses are released before the member has read the record that assigns the new ones.
    NoJointMajority,
    /// A witness still renews the lease of a member after it has suspected it.
    RenewsSuspected,
    /// The upstream's grants outlive the lease.
    GrantsOutliveLease,
    /// A move does not wait for running requests.
    NoDrain,
}
