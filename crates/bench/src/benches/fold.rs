//! Speed and memory of the fold at the largest supported fleet size.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use cluster::Body;
use cluster::Document;
use cluster::Fleet;
use cluster::Join;
use cluster::Outcome;
use cluster::Record;
use config::Plan;
use config::Plans;
use config::Workspace;
use config::Workspaces;

use crate::figure::Figure;
use crate::placement_simulation::keyed_service;
use crate::report::Report;
use crate::usage::memory_bytes;

/// Members in the fleet.
const MEMBERS: usize = 530;

/// Shards of the keyed service.
const SHARDS: u32 = 1 << 14;

/// Hot keys that are pinned, and so owned separately from their shards.
const PINNED_KEYS: usize = 1_000;

/// Workspaces with a plan.
const WORKSPACES: usize = 100;

/// Records folded to measure the fold rate, once the fleet state is built.
const CHANGE_RECORDS: usize = 20_000;

/// Maximum number of records after the newest snapshot that a starting process reads.
const RECORDS_AFTER_SNAPSHOT: usize = 4_096;

/// Time limit for a key to be served again after the loss of its owner, in milliseconds.
const MAX_TAKEOVER_MS: f64 = 4_000.0;

/// Appends per second that the platform's log accepts.
const LOG_APPENDS_PER_SECOND: f64 = 500.0;

/// Limit of the memory of a process for control, in bytes.
const MAX_CONTROL_MEMORY_BYTES: f64 = 128.0 * 1024.0 * 1024.0;

/// An in-memory log whose records are folded as they are appended.
struct FoldedLog {
    fleet: Fleet,
    next_offset: u64,
}

impl FoldedLog {
    fn new() -> Self {
        Self {
            fleet: Fleet::default(),
            next_offset: 1,
        }
    }

    fn append(&mut self, body: Body) -> Result<()> {
        let bytes = encode_record(self.next_offset, body)?;
        let outcome = self.fleet.apply(self.next_offset, &bytes);
        self.next_offset += 1;
        match outcome {
            Outcome::Rejected(reason) => {
                anyhow::bail!("record {} was rejected: {reason}", self.next_offset - 1)
            }
            _ => Ok(()),
        }
    }
}

fn encode_record(id: u64, body: Body) -> Result<Vec<u8>> {
    let record = Record {
        body,
        id: format!("record-{id}"),
        writer: "bench".to_owned(),
    };
    Ok(serde_json::to_vec(&record)?)
}

/// Runs the `fold` benchmark.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let mut log = FoldedLog::new();
    let started = Instant::now();
    build_state(&mut log)?;
    let build_time = started.elapsed();
    let before = memory_bytes(std::process::id())?;
    let copy = log.fleet.clone();
    let state_bytes = memory_bytes(std::process::id())?.saturating_sub(before);
    let clone_time = measure_duration(|| drop(std::hint::black_box(copy.clone())));
    let rate = measure_fold_rate(&mut log)?;
    let parts = log.fleet.snapshot_parts();
    let snapshot_bytes: usize = parts.iter().map(String::len).sum();
    let ready_time = measure_time_to_ready(&log, &parts)?;
    let loss_time = measure_loss(&mut log)?;
    let figures = vec![
        Figure::new("records folded", "1/s", rate).at_least(LOG_APPENDS_PER_SECOND),
        Figure::new(
            "time until 530 members and 2^14 shards stand",
            "ms",
            ms(build_time),
        ),
        Figure::new("memory of one state", "bytes", state_bytes as f64)
            .at_most(MAX_CONTROL_MEMORY_BYTES),
        Figure::new("time to copy one state", "ms", ms(clone_time)),
        Figure::new("size of a snapshot", "bytes", snapshot_bytes as f64),
        Figure::new("parts of a snapshot", "1", parts.len() as f64),
        Figure::new(
            "time from start to ready from a snapshot",
            "ms",
            ms(ready_time),
        )
        .at_most(MAX_TAKEOVER_MS),
        Figure::new("time to fold a loss", "ms", ms(loss_time)),
    ];
    Ok(Report::new("fold", seed, figures))
}

fn build_state(log: &mut FoldedLog) -> Result<()> {
    log.append(Body::Publish {
        base: 0,
        document: Document::Plans(plans()),
    })?;
    log.append(Body::Publish {
        base: 0,
        document: Document::Workspaces(workspaces()),
    })?;
    for index in 0..MEMBERS {
        log.append(Body::Join(join_request(index)))?;
    }
    for index in 0..PINNED_KEYS {
        let key = format!("key-{index}");
        let service = "ordering".to_owned();
        let unit = log
            .fleet
            .unit_of(&service, &key)
            .context("the service has no shards")?;
        let owner = log.fleet.owner(&unit).context("the shard has no owner")?;
        log.append(Body::Pin {
            vm: owner.vm.clone(),
            incarnation: owner.incarnation,
            service,
            key,
        })?;
    }
    Ok(())
}

/// Returns the number of records folded per second, for alternating issues and withdrawals of tenant keys.
fn measure_fold_rate(log: &mut FoldedLog) -> Result<f64> {
    let mut records = Vec::with_capacity(CHANGE_RECORDS);
    for index in 0..CHANGE_RECORDS {
        let hash = config::KeyHash::of(&format!("tenant-{}", index / 2));
        let body = if index % 2 == 0 {
            let workspace = format!("workspace-{}", index % WORKSPACES);
            Body::IssueKey { workspace, hash }
        } else {
            Body::WithdrawKey { hash }
        };
        records.push(encode_record(log.next_offset + index as u64, body)?);
    }
    let started = Instant::now();
    for bytes in &records {
        log.fleet.apply(log.next_offset, bytes);
        log.next_offset += 1;
    }
    Ok(CHANGE_RECORDS as f64 / started.elapsed().as_secs_f64())
}

/// Returns the time to restore a snapshot and to fold the records after it.
fn measure_time_to_ready(log: &FoldedLog, parts: &[String]) -> Result<Duration> {
    let mut later_records = Vec::with_capacity(RECORDS_AFTER_SNAPSHOT);
    for index in 0..RECORDS_AFTER_SNAPSHOT {
        let hash = config::KeyHash::of(&format!("late-{index}"));
        let workspace = "workspace-0".to_owned();
        let body = Body::IssueKey { workspace, hash };
        later_records.push(encode_record(log.next_offset + index as u64, body)?);
    }
    let started = Instant::now();
    let mut fleet = Fleet::restore(parts)?;
    for (offset, bytes) in (log.next_offset..).zip(&later_records) {
        fleet.apply(offset, bytes);
    }
    let elapsed = started.elapsed();
    anyhow::ensure!(
        fleet.members().len() == log.fleet.members().len(),
        "the restored fleet has a different number of members"
    );
    Ok(elapsed)
}

/// Returns the time to fold the record that declares a member lost and gives its units new owners.
fn measure_loss(log: &mut FoldedLog) -> Result<Duration> {
    let member = log
        .fleet
        .members()
        .get("vm-7")
        .context("vm-7 is not a member")?;
    let body = Body::DeclareLost {
        vm: member.join.vm.clone(),
        incarnation: member.incarnation,
    };
    let bytes = encode_record(log.next_offset, body)?;
    let offset = log.next_offset;
    log.next_offset += 1;
    Ok(measure_duration(|| {
        log.fleet.apply(offset, &bytes);
    }))
}

fn plans() -> Plans {
    let plan = Plan {
        burst_requests: 100,
        rate_requests_per_second: 100,
        services: ["ordering".to_owned()].into(),
        weight: 1,
        ..Plan::default()
    };
    Plans {
        plans: [("basic".to_owned(), plan)].into(),
        services: [("ordering".to_owned(), keyed_service(SHARDS))].into(),
        ..Plans::default()
    }
}

fn workspaces() -> Workspaces {
    let workspace = |index| {
        let plan = "basic".to_owned();
        (
            format!("workspace-{index}"),
            Workspace {
                plan,
                ..Workspace::default()
            },
        )
    };
    Workspaces {
        workspaces: (0..WORKSPACES).map(workspace).collect(),
    }
}

fn join_request(index: usize) -> Join {
    let zone = index % 12;
    let address = format!("10.{}.{}.1:7000", index / 250, index % 250);
    Join {
        connections: 130,
        instance: String::new(),
        lease_ms: 2_000,
        peer: address
            .parse()
            .expect("the address consists of an IP address and a port"),
        region: format!("region-{}", zone / 4),
        service: "ordering".to_owned(),
        slots: 10,
        version: String::new(),
        vm: format!("vm-{index}"),
        zone: format!("zone-{zone}"),
    }
}

fn measure_duration(work: impl FnOnce()) -> Duration {
    let started = Instant::now();
    work();
    started.elapsed()
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
