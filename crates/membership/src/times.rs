//! Durations that the safety of ownership rests on.

use std::time::Duration;

/// Silence after which a witness suspects a member.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(2);

/// Time between two heartbeats to one witness.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an unanswered heartbeat is sent again.
pub(crate) const HEARTBEAT_RETRY: Duration = Duration::from_millis(100);

/// Time between two heartbeats to a witness that gives contact and cannot renew yet, as when many members have just
/// started.
pub(crate) const RENEWAL_RETRY: Duration = Duration::from_millis(200);

/// Time between two ticks above which a process counts as having been paused.
pub(crate) const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Time beyond the wait of a read without contact to the log after which it counts as unhealthy.
pub(crate) const LOG_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time without log and witnesses after which everything is refused.
pub(crate) const UNINFORMED_AFTER: Duration = Duration::from_secs(3);

/// Time after which an append that has not been read back is repeated.
pub(crate) const APPEND_RETRY: Duration = Duration::from_secs(1);

/// Time after which an unanswered grant counts as failed.
pub(crate) const GRANT_TIMEOUT: Duration = Duration::from_secs(1);

/// Progress of the lease after which the upstream's grants are renewed.
pub(crate) const GRANT_RENEWAL_ADVANCE: Duration = Duration::from_millis(400);

/// Time between two questions whether requests still run on revoked units.
pub(crate) const REVOKE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Greatest age of a clock sample. Over this time and a lease, two clocks whose speeds differ by
/// 1.2% drift apart by less than `DRIFT_MARGIN`.
pub(crate) const MAX_SAMPLE_AGE: Duration = Duration::from_secs(2);

/// Silence of the upstream after which its member leaves.
pub(crate) const UPSTREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(2200);

/// Silence of an upstream that polls its grants after which its member leaves.
pub(crate) const POLLED_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after the start of a process before which it brings no first manifest into the log, so that the members that
/// start with it share the units.
pub(crate) const FIRST_MANIFEST_DELAY: Duration = Duration::from_millis(2_500);

/// Time after which the next member in turn brings into the log what operators declare.
pub(crate) const DECLARATION_TURN_DELAY: Duration = Duration::from_millis(150);

/// Ranges of keys up to which a member with an upstream that polls attracts more. More would not fit into an answer.
pub(crate) const MAX_RANGES: usize = 165;

/// Time between two lives of a member that joins anew because it has too many ranges.
pub(crate) const REFENCE_INTERVAL: Duration = Duration::from_secs(3);

/// Part of what is left of a lease for which the upstream holds its grants. Its clock may run 2% slow.
pub(crate) const HOLD_FRACTION: f64 = 0.975;

/// Longest time for which an upstream that polls holds its grants.
pub(crate) const MAX_HOLD: Duration = Duration::from_secs(10);

/// Time between two probes of the upstream while it is in doubt.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time without an answer to grants and probes after which the upstream's member leaves, although
/// the upstream goes on announcing itself.
pub(crate) const UPSTREAM_FAILURE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause before a member that ended joins again, doubled while its lives are short.
pub(crate) const REJOIN_BACKOFF: Duration = Duration::from_secs(1);

/// Longest pause before a member that ended joins again.
pub(crate) const REJOIN_BACKOFF_MAX: Duration = Duration::from_secs(30);

/// Length of a life that is not short.
pub(crate) const STABLE_MEMBERSHIP: Duration = Duration::from_secs(60);

/// Time within which a graceful stop ends.
pub(crate) const STOP_DEADLINE: Duration = Duration::from_secs(20);

/// Time after a join in which a member with witnesses asks for no better ones, since others may be about to join.
pub(crate) const REWITNESS_DELAY: Duration = Duration::from_millis(1_500);

/// Time after a join in which a member asks for no better witnesses although those it has cannot renew, as the members
/// that start with it join meanwhile.
pub(crate) const LOST_REWITNESS_DELAY: Duration = Duration::from_millis(300);

/// Time between two replacements of witnesses by one member.
pub(crate) const REWITNESS_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a member without a lease hopes for new witnesses.
pub(crate) const LEASE_LOST_AFTER: Duration = Duration::from_secs(3);

/// Time between two plans of moves.
pub(crate) const MOVE_PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two plans of moves of a member whose upstream polls its grants. Each move keeps its units from being
/// served until the next owner's upstream checks in.
pub(crate) const POLLED_MOVE_PLAN_INTERVAL: Duration = Duration::from_millis(2_500);

/// Most units that an owner moves at a time to even out load, if it has few.
pub(crate) const MOVE_BUDGET: usize = 32;

/// Part of its units that an owner with many moves at a time to even out load: one in so many.
pub(crate) const MOVE_BUDGET_DIVISOR: usize = 16;

/// Most units that a member that stops or is taken out moves at a time.
pub(crate) const EVACUATION_BUDGET: usize = 256;

/// Time for which a member is behind its witnesses after which it pulls records from them.
pub(crate) const PULL_AFTER_LAG: Duration = Duration::from_millis(700);

/// Time between two pulls from peers.
pub(crate) const PULL_INTERVAL: Duration = Duration::from_millis(500);

/// Number of records after which a snapshot is written.
pub(crate) const SNAPSHOT_RECORDS: u64 = 2_000;

/// Time after which the next member in turn writes a snapshot that is still missing.
pub(crate) const SNAPSHOT_TURN_DELAY: Duration = Duration::from_secs(30);

/// Time between two plans of moves of a member that gives all its units away.
pub(crate) const EVACUATION_PLAN_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a new snapshot is written, however little has changed.
pub(crate) const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(600);

/// Part of the time for which the log keeps records after which a new snapshot is written: one in so many.
pub(crate) const SNAPSHOTS_PER_RETENTION: u32 = 3;

/// Length of a log outage after which a new snapshot is written, since the last may have expired.
pub(crate) const LONG_OUTAGE: Duration = Duration::from_secs(30);
