//! Durations, limits and ratios that govern membership and ownership.

use std::time::Duration;

/// Time without heartbeats after which a witness suspects a member.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(2);

/// Time between two heartbeats to one witness.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an unanswered heartbeat is sent again.
pub(crate) const HEARTBEAT_RETRY: Duration = Duration::from_millis(100);

/// Time between two heartbeats to a witness that has contact but cannot renew yet, which happens when many members have
/// just started.
pub(crate) const RENEWAL_RETRY: Duration = Duration::from_millis(200);

/// Time between two ticks above which the process counts as having been paused.
pub(crate) const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Time without contact to the log, beyond the wait of a read, after which the log counts as unhealthy.
pub(crate) const LOG_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time since the last contact to the log or to witnesses after which all requests are refused.
pub(crate) const UNINFORMED_AFTER: Duration = Duration::from_secs(3);

/// Time after which an append that has not been read back is retried.
pub(crate) const APPEND_RETRY: Duration = Duration::from_secs(1);

/// Time after which an unanswered grant counts as failed.
pub(crate) const GRANT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time by which the lease end must have advanced before the upstream's grants are renewed.
pub(crate) const GRANT_RENEWAL_ADVANCE: Duration = Duration::from_millis(400);

/// Time between two polls of whether requests still run on revoked units.
pub(crate) const REVOKE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum age of a clock sample. Over this time plus a lease, two clocks whose speeds differ by 1.2%
/// drift apart by less than `DRIFT_MARGIN`.
pub(crate) const MAX_SAMPLE_AGE: Duration = Duration::from_secs(2);

/// Time without contact to the upstream after which its member leaves.
pub(crate) const UPSTREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(2200);

/// Time without check-ins of an upstream that polls its grants after which its member leaves.
pub(crate) const POLLED_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time from the start of a process during which it doesn't publish the first manifest in the log, so that all members
/// that start together share the units.
pub(crate) const FIRST_MANIFEST_DELAY: Duration = Duration::from_millis(2_500);

/// Longest such time, while members still join and the number of shards follows from their number. Units have no owners
/// meanwhile.
pub(crate) const MAX_FIRST_MANIFEST_DELAY: Duration = Duration::from_millis(5_000);

/// Time without a join after which the members that start together count as complete.
pub(crate) const MEMBERS_SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Time after which the next process in turn writes its state to a log that was restored from a backup.
pub(crate) const CONTINUATION_TURN_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of turns that a process waits, so that members write their state before others.
pub(crate) const MAX_CONTINUATION_TURNS: u32 = 10;

/// Time that members have to write their state to a restored log before other processes write theirs.
pub(crate) const NON_MEMBER_CONTINUATION_DELAY: Duration = Duration::from_millis(2_100);

/// Time that processes that had read all of the log before its restore have to write their state before others, which know
/// only of the backup, write theirs.
pub(crate) const BACKUP_CONTINUATION_DELAY: Duration = Duration::from_millis(3_000);

/// Time after the first declaration of a generation for which a zone stays out of service although it is not declared out
/// any more, since operators may not have repeated a declaration that was lost with a restore.
pub(crate) const DECLARATION_SETTLE_TIME: Duration = Duration::from_secs(10);

/// Time after which the next member in turn publishes the declarations of operators in the log.
pub(crate) const DECLARATION_TURN_DELAY: Duration = Duration::from_millis(300);

/// Shortest age of the knowledge of where the declarations of operators end after which a process checks, unless a peer has
/// checked.
pub(crate) const DECLARATION_CHECK_AGE: Duration = Duration::from_millis(1_000);

/// Time by which that age differs between processes. As long as the time between two heartbeats, so that what the first ones
/// find reaches others before they check.
pub(crate) const DECLARATION_CHECK_SPREAD: Duration = HEARTBEAT_INTERVAL;

/// Time between two checks of where the declarations of operators end.
pub(crate) const DECLARATION_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of ranges of a member whose upstream polls its grants. More would not fit into a check-in answer.
pub(crate) const MAX_RANGES: usize = 165;

/// Time after a join before a member may join again because it has too many ranges.
pub(crate) const REFENCE_INTERVAL: Duration = Duration::from_secs(3);

/// Fraction of the remaining time of a lease for which an upstream that polls its grants holds them. Its clock may run
/// 2% slow.
pub(crate) const HOLD_FRACTION: f64 = 0.975;

/// Maximum time for which an upstream that polls its grants holds them.
pub(crate) const MAX_HOLD: Duration = Duration::from_secs(10);

/// Time between two probes of an upstream that has no recent clock sample or has failed since.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time without an answer to grants and probes after which the upstream's member leaves, even if the
/// upstream still announces itself.
pub(crate) const UPSTREAM_FAILURE_TIMEOUT: Duration = Duration::from_secs(5);

/// Initial backoff before a process whose membership ended joins again. It doubles after each membership shorter
/// than `STABLE_MEMBERSHIP`.
pub(crate) const REJOIN_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum backoff before a process whose membership ended joins again.
pub(crate) const REJOIN_BACKOFF_MAX: Duration = Duration::from_secs(30);

/// Minimum length of a membership that resets the backoff of the next join.
pub(crate) const STABLE_MEMBERSHIP: Duration = Duration::from_secs(60);

/// Time after a join in which a member with witnesses requests no better ones, since other members may be about to
/// join.
pub(crate) const REWITNESS_DELAY: Duration = Duration::from_millis(1_500);

/// Time after a join in which a member whose witnesses cannot renew requests no better ones, since the members that
/// start with it join during that time.
pub(crate) const LOST_REWITNESS_DELAY: Duration = Duration::from_millis(300);

/// Time between two replacements of witnesses by one member.
pub(crate) const REWITNESS_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the end of a lost lease for which its member waits for new witnesses before it leaves.
pub(crate) const LEASE_LOST_AFTER: Duration = Duration::from_secs(3);

/// Time between two plans of moves.
pub(crate) const MOVE_PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two plans of moves of a member whose upstream polls its grants. The units of each move are not served
/// until the next owner's upstream checks in.
pub(crate) const POLLED_MOVE_PLAN_INTERVAL: Duration = Duration::from_millis(2_500);

/// Minimum budget of units that an owner moves at a time to balance load. Owners with many units move more, see
/// `MOVE_BUDGET_DIVISOR`.
pub(crate) const MOVE_BUDGET: usize = 32;

/// Divisor of an owner's number of units that gives the budget of units that it moves at a time to balance load.
pub(crate) const MOVE_BUDGET_DIVISOR: usize = 16;

/// Time before the end of an evacuation from which nothing is started in the zone, for requests on their way and for the
/// differences of clocks.
pub(crate) const EVACUATION_MARGIN: Duration = Duration::from_millis(500);

/// Maximum number of units that a member that stops or is taken out moves at a time.
pub(crate) const EVACUATION_BUDGET: usize = 256;

/// Time after which a read of the log that has not returned a known record counts as lost, in a fleet of one member.
pub(crate) const READ_OVERDUE_AFTER: Duration = Duration::from_millis(300);

/// Time by which each member prolongs `READ_OVERDUE_AFTER`. All members read a record at the same time.
pub(crate) const READ_OVERDUE_PER_MEMBER: Duration = Duration::from_millis(2);

/// Time after which a member that has read less of the log than its witnesses pulls records from them.
pub(crate) const PULL_AFTER_LAG: Duration = Duration::from_millis(700);

/// Time after which a member that reads the first state of a generation from the log pulls it from its witnesses instead. The
/// state is large, and all members read it at once. Shorter than a lease, which former owners wait for.
pub(crate) const FIRST_STATE_PULL_DELAY: Duration = Duration::from_millis(1_500);

/// Time between two pulls from peers.
pub(crate) const PULL_INTERVAL: Duration = Duration::from_millis(500);

/// Number of records after which a snapshot is written.
pub(crate) const SNAPSHOT_RECORDS: u64 = 2_000;

/// Time after which the next member in turn writes a snapshot that is still due.
pub(crate) const SNAPSHOT_TURN_DELAY: Duration = Duration::from_secs(30);

/// Time between two plans of moves of a member that moves all its units to others.
pub(crate) const EVACUATION_PLAN_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a new snapshot is written, regardless of the number of records since the last.
pub(crate) const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(600);

/// Divisor of the log's retention that gives the maximum time between snapshots. The snapshot
/// interval divided by it also limits the delay between the turns of two members to write a snapshot.
pub(crate) const RETENTION_DIVISOR: u32 = 3;

/// Length of a log outage after which a new snapshot is written, since the last one may have expired.
pub(crate) const LONG_OUTAGE: Duration = Duration::from_secs(30);
