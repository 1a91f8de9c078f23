//! All machines are without power for longer than the store keeps the fleet's log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, Plan};
use crate::manifest;
use crate::record::Record;

const MACHINES: [(&str, &str); 6] = [
    ("orders", "qld-a"),
    ("orders", "qld-b"),
    ("orders", "qld-c"),
    ("workshop", "qld-a"),
    ("workshop", "qld-b"),
    ("workshop", "qld-c"),
];

/// History that the store of the installation keeps.
const KEEP: Duration = Duration::from_secs(20);

/// Time for which the machines have no power.
const DOWN: Duration = Duration::from_secs(25);

/// `recovery` of the installation.
const RECOVERY: Duration = Duration::from_secs(15);

/// Sends requests through all machines for some time, and returns how many were served and how many were sent.
fn measure(fleet: &Fleet, record: &Record, time: Duration) -> (usize, usize) {
    let until = Instant::now() + time;
    let (mut served, mut sent) = (0, 0);
    while Instant::now() < until {
        for (index, machine) in fleet.machines.iter().enumerate() {
            let (path, key) = match sent % 2 {
                0 => ("/orders/x", (sent * 7_919 + index) % 65_536),
                _ => ("/workshop/x", 1),
            };
            let answer = machine.send(path, key, 1_000);
            sent += 1;
            let outcome = match &answer {
                Ok(answer) => answer.status().to_string(),
                Err(error) => error.clone(),
            };
            served += usize::from(outcome == "200");
            let reason = answer
                .ok()
                .and_then(|answer| answer.header("skylark-reason").map(str::to_owned));
            record.line(&format!(
                "sent {path} to {}: {outcome} {}",
                machine.name,
                reason.unwrap_or_default()
            ));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    (served, sent)
}

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let plan = Plan {
        machines: &MACHINES,
        keep: KEEP,
        manifest: &manifest(1),
        work: Duration::from_millis(20),
    };
    let mut fleet = Fleet::start(&plan, record);
    if !fleet.wait_until_serving(Duration::from_secs(20)) {
        record.note("the fleet never served");
        return Verdict::CannotRun;
    }
    let (served, sent) = measure(&fleet, record, Duration::from_secs(5));
    record.note(&format!(
        "before: {served} of {sent} served; fleet log {:?}",
        fleet.store.bounds("fleet")
    ));
    if served * 4 < sent {
        return Verdict::CannotRun;
    }
    if has_trouble {
        for machine in &mut fleet.machines {
            machine.kill();
        }
        record.note(&format!("all machines lose power for {DOWN:?}"));
        std::thread::sleep(DOWN);
        record.note(&format!(
            "power is back; fleet log {:?}",
            fleet.store.bounds("fleet")
        ));
        for machine in &mut fleet.machines {
            machine.spawn();
        }
    }
    std::thread::sleep(RECOVERY + Duration::from_secs(1));
    let (served, sent) = measure(&fleet, record, Duration::from_secs(10));
    let ready = fleet
        .machines
        .iter()
        .filter(|machine| machine.is_ready())
        .count();
    record.note(&format!(
        "later than recovery: {served} of {sent} served, {ready} of {} ready; fleet log {:?}",
        fleet.machines.len(),
        fleet.store.bounds("fleet")
    ));
    match served * 4 < sent {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
