//! Capacity table for the largest fleet that the design must support: 530 nodes.

use std::path::Path;

use anyhow::Result;
use ids::BUCKETS_PER_WORKSPACE;

use crate::pages::capacity_row::CapacityRow;
use crate::pages::generated_section::replace_generated_section;
use crate::pages::measured_costs::MeasuredCosts;
use crate::pages::results::Results;

/// Nodes in the fleet.
const NODES: f64 = 530.0;

/// Availability zones of the fleet.
const ZONES: f64 = 12.0;

/// Regions of the fleet.
const REGIONS: f64 = 3.0;

/// Requests per second to the whole fleet.
const REQUESTS_PER_SECOND: f64 = 1_200_000.0;

/// Shards of all keyed services together.
const SHARDS: f64 = 16_384.0;

/// Configuration changes per day.
const CONFIG_CHANGES_PER_DAY: f64 = 1_000.0;

/// VMs restarted or replaced per day.
const VM_REPLACEMENTS_PER_DAY: f64 = 77.0;

/// VMs that fail per day.
const VM_LOSSES_PER_DAY: f64 = 2.0;

/// Hot keys, all of which change within [`HOT_KEYS_CHANGE_INTERVAL_S`].
const HOT_KEYS: f64 = 30.0;

/// Interval in which all hot keys change, in seconds.
const HOT_KEYS_CHANGE_INTERVAL_S: f64 = 300.0;

/// Seconds per day.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Size of a record in the log, in bytes, including its offset and JSON quoting.
const RECORD_BYTES: f64 = 350.0;

/// Witnesses of each member.
const WITNESSES_PER_MEMBER: f64 = 5.0;

/// Units moved by one record.
const UNITS_PER_MOVE: f64 = 8.0;

/// Workspaces with requests through an entry within a second.
const ACTIVE_WORKSPACES_PER_ENTRY: f64 = 50.0;

/// Requests for tokens per second that an entry sends for each active workspace.
const TOKEN_REQUESTS_PER_SECOND: f64 = 5.0;

/// Size of a request for tokens together with its answer, in bytes.
const TOKEN_REQUEST_BYTES: f64 = 200.0;

/// Memory limit of the requests that a home remembers, in bytes.
const MAX_REMEMBERED_REQUESTS_BYTES: f64 = 16.0 * 1_048_576.0;

/// Appends per second that the log accepts.
const LOG_APPENDS_PER_SECOND: f64 = 300.0;

/// Limit of the control traffic of a node, in bytes per second.
const MAX_CONTROL_BYTES_PER_SECOND: f64 = 4_096.0;

/// Limit of the CPU time of a node for control, in percent of a core.
const MAX_CONTROL_CPU_PERCENT: f64 = 4.2;

/// Writes the capacity table into `docs/CAPACITY.md`.
pub(crate) fn write(docs: &Path, results: &Results) -> Result<()> {
    let costs = MeasuredCosts::from_results(results)?;
    let mut text = String::from(
        "\n| role or moment | state, bytes | messages/s | bytes/s | % of a core | fits | mechanism |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows(&costs) {
        text += &row.to_markdown();
    }
    replace_generated_section(&docs.join("CAPACITY.md"), &(text + "\n"))
}

fn rows(costs: &MeasuredCosts) -> Vec<CapacityRow> {
    [role_rows(costs), event_rows(costs)].concat()
}

/// Returns the mean number of records per second on an ordinary day.
fn ordinary_records_per_second() -> f64 {
    let moves_per_node = SHARDS / NODES / UNITS_PER_MOVE;
    let joins = VM_REPLACEMENTS_PER_DAY * (2.0 + 2.0 * moves_per_node + 2.0 * WITNESSES_PER_MEMBER);
    let losses = VM_LOSSES_PER_DAY * 3.0 * WITNESSES_PER_MEMBER;
    (CONFIG_CHANGES_PER_DAY + joins + losses) / SECONDS_PER_DAY + hot_key_records_per_second()
}

/// Returns the records per second caused by hot keys.
///
/// Each hot key needs a pin, a move and an unpin, and its owner moves its other units away.
fn hot_key_records_per_second() -> f64 {
    HOT_KEYS * (3.0 + SHARDS / NODES / UNITS_PER_MOVE) / HOT_KEYS_CHANGE_INTERVAL_S
}

fn role_rows(costs: &MeasuredCosts) -> Vec<CapacityRow> {
    let requests = REQUESTS_PER_SECOND / NODES;
    let records = ordinary_records_per_second();
    let copy_percent = (records * costs.state_copy_ms / 10.0).min(5.0);
    let token_requests = ACTIVE_WORKSPACES_PER_ENTRY * TOKEN_REQUESTS_PER_SECOND;
    let flat_token_requests = NODES * TOKEN_REQUESTS_PER_SECOND / f64::from(BUCKETS_PER_WORKSPACE);
    let tree_token_requests = ZONES;
    vec![
        CapacityRow {
            label: "entry",
            state_bytes: Some(costs.state_bytes),
            messages_per_second: Some(requests),
            bytes_per_second: None,
            cpu_percent: Some(costs.cores_per_2300_requests * 50.0 * requests / 2_300.0),
            verdict: "traffic, not control".to_owned(),
            mechanism: "traffic threads; a copy of the state; half of the measured cost of a request",
        },
        CapacityRow {
            label: "home",
            state_bytes: Some(MAX_REMEMBERED_REQUESTS_BYTES),
            messages_per_second: Some(requests),
            bytes_per_second: None,
            cpu_percent: Some(costs.cores_per_2300_requests * 50.0 * requests / 2_300.0),
            verdict: "traffic, not control".to_owned(),
            mechanism: "fair queue, limiter, bounded memory of requests",
        },
        with_verdict(CapacityRow {
            label: "member and witness",
            state_bytes: Some(costs.control_memory_bytes),
            messages_per_second: Some(4.0 * WITNESSES_PER_MEMBER),
            bytes_per_second: Some(costs.control_bytes_per_second),
            cpu_percent: Some(costs.control_cpu_percent),
            verdict: String::new(),
            mechanism: "five witnesses for each member, whatever the size of the fleet; at most ten members for a witness",
        }),
        with_verdict(CapacityRow {
            label: "log reader",
            state_bytes: Some(costs.state_bytes),
            messages_per_second: Some(records),
            bytes_per_second: Some(records * RECORD_BYTES),
            cpu_percent: Some(100.0 * records / costs.folded_per_second + copy_percent),
            verdict: String::new(),
            mechanism: "deterministic fold; copies for traffic at most a twentieth of the time",
        }),
        CapacityRow {
            label: "log writers together",
            state_bytes: None,
            messages_per_second: Some(records),
            bytes_per_second: None,
            cpu_percent: None,
            verdict: format!(
                "{:.1}% of {LOG_APPENDS_PER_SECOND} appends a second",
                100.0 * records / LOG_APPENDS_PER_SECOND
            ),
            mechanism: "many units, or many suspicions, in one record; churn budget",
        },
        CapacityRow {
            label: "entry, asks for tokens",
            state_bytes: None,
            messages_per_second: Some(token_requests),
            bytes_per_second: Some(token_requests * TOKEN_REQUEST_BYTES),
            cpu_percent: None,
            verdict: "grows with active workspaces, as traffic does".to_owned(),
            mechanism: "batches sized by recent demand",
        },
        with_verdict(CapacityRow {
            label: "bucket owner, flat, one workspace active at all entries",
            state_bytes: None,
            messages_per_second: Some(flat_token_requests),
            bytes_per_second: Some(flat_token_requests * TOKEN_REQUEST_BYTES),
            cpu_percent: None,
            verdict: String::new(),
            mechanism: "built: entries ask the owner of the bucket",
        }),
        with_verdict(CapacityRow {
            label: "bucket owner with a tree, same workspace",
            state_bytes: None,
            messages_per_second: Some(tree_token_requests),
            bytes_per_second: Some(tree_token_requests * TOKEN_REQUEST_BYTES),
            cpu_percent: None,
            verdict: String::new(),
            mechanism: "not built: one process in each zone asks for all entries of its zone, once a second",
        }),
        with_verdict(CapacityRow {
            label: "snapshot writer, in turn",
            state_bytes: Some(costs.snapshot_bytes),
            messages_per_second: None,
            bytes_per_second: Some(costs.snapshot_bytes * records / 16_384.0),
            cpu_percent: None,
            verdict: String::new(),
            mechanism: "one member at a time, by the fold; parts of less than 200 KB",
        }),
        CapacityRow {
            label: "joiner",
            state_bytes: Some(costs.snapshot_bytes),
            messages_per_second: None,
            bytes_per_second: None,
            cpu_percent: None,
            verdict: format!(
                "ready after {:.0} ms, without the time to read {:.1} MB",
                costs.ready_ms,
                costs.snapshot_bytes / 1e6
            ),
            mechanism: "newest snapshot and the records behind it",
        },
    ]
}

fn event_rows(costs: &MeasuredCosts) -> Vec<CapacityRow> {
    let nodes_per_zone = NODES / ZONES;
    let suspicions = (nodes_per_zone * WITNESSES_PER_MEMBER).min(NODES - nodes_per_zone);
    let members_with_lost_witnesses = (NODES - nodes_per_zone)
        * (1.0 - (1.0 - nodes_per_zone / NODES).powf(WITNESSES_PER_MEMBER));
    let zone_loss_records = suspicions + 2.0 * members_with_lost_witnesses;
    let restart_records = NODES * (2.0 + 2.0 * WITNESSES_PER_MEMBER) + SHARDS / UNITS_PER_MOVE;
    let nodes_per_region = NODES / REGIONS;
    vec![
        CapacityRow {
            label: "a zone lost at once",
            state_bytes: None,
            messages_per_second: Some(zone_loss_records),
            bytes_per_second: Some(zone_loss_records * RECORD_BYTES),
            cpu_percent: Some(nodes_per_zone * costs.loss_ms / 10.0),
            verdict: format!(
                "{suspicions:.0} suspicions append within {:.1} s, before the {:.0} replacements of witnesses",
                suspicions / LOG_APPENDS_PER_SECOND,
                2.0 * members_with_lost_witnesses
            ),
            mechanism: "one record for all suspicions of a witness; replacements of witnesses follow",
        },
        CapacityRow {
            label: "a region cut off for an hour",
            state_bytes: None,
            messages_per_second: Some(ordinary_records_per_second() * 3_600.0),
            bytes_per_second: Some(ordinary_records_per_second() * 3_600.0 * RECORD_BYTES),
            cpu_percent: None,
            verdict: format!(
                "{nodes_per_region:.0} nodes keep their keys by witnesses of their own region; if the log is outside, no change and no withdrawal reaches them meanwhile"
            ),
            mechanism: "witnesses of the same region; catch-up from the log afterwards",
        },
        CapacityRow {
            label: "the log down for an hour",
            state_bytes: None,
            messages_per_second: None,
            bytes_per_second: None,
            cpu_percent: None,
            verdict: format!(
                "{:.2} nodes lost meanwhile on an ordinary day, {:.1} units refused until the log is back",
                VM_LOSSES_PER_DAY / 24.0,
                VM_LOSSES_PER_DAY / 24.0 * SHARDS / NODES
            ),
            mechanism: "leases by witnesses need no log",
        },
        CapacityRow {
            label: "the whole fleet restarted",
            state_bytes: None,
            messages_per_second: Some(restart_records),
            bytes_per_second: Some(restart_records * RECORD_BYTES),
            cpu_percent: None,
            verdict: format!(
                "{:.0} s of appends at {LOG_APPENDS_PER_SECOND}/s: does not fit 4 s",
                restart_records / LOG_APPENDS_PER_SECOND
            ),
            mechanism: "restarts one after another; after a restart of all, a first assignment over all joined members would carry it, not built",
        },
        CapacityRow {
            label: "the hottest 30 keys change within minutes",
            state_bytes: None,
            messages_per_second: Some(hot_key_records_per_second()),
            bytes_per_second: Some(hot_key_records_per_second() * RECORD_BYTES),
            cpu_percent: None,
            verdict: format!(
                "{:.1}% of {LOG_APPENDS_PER_SECOND} appends a second",
                100.0 * hot_key_records_per_second() / LOG_APPENDS_PER_SECOND
            ),
            mechanism: "pinned keys as units of their own",
        },
        CapacityRow {
            label: "links of a node",
            state_bytes: None,
            messages_per_second: Some(NODES - 1.0),
            bytes_per_second: None,
            cpu_percent: None,
            verdict: "a ping on each link that is not in use".to_owned(),
            mechanism: "one link for each pair of peers with traffic; idle links wake four times a minute",
        },
    ]
}

/// Sets the verdict of a row by the limits on control traffic and CPU time.
fn with_verdict(mut row: CapacityRow) -> CapacityRow {
    let too_many_bytes = row
        .bytes_per_second
        .is_some_and(|bytes| bytes > MAX_CONTROL_BYTES_PER_SECOND);
    let too_much_time = row
        .cpu_percent
        .is_some_and(|percent| percent > MAX_CONTROL_CPU_PERCENT);
    row.verdict = match (too_many_bytes, too_much_time) {
        (false, false) => "yes".to_owned(),
        (true, false) => "**no: traffic**".to_owned(),
        (false, true) => "**no: processor**".to_owned(),
        (true, true) => "**no: traffic and processor**".to_owned(),
    };
    row
}
