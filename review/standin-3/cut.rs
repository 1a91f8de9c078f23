//! All machines lose power, and one of them never comes back: another comes in its place at a new address.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, Plan};
use crate::manifest;
use crate::record::Record;

/// One server of the service that is divided by key.
const MACHINES: [(&str, &str); 5] = [
    ("batch-desk", "dundee-docks"),
    ("cold-ledger", "perth-west"),
    ("cold-ledger", "arbroath"),
    ("cold-ledger", "forfar"),
    ("cold-ledger", "dundee-docks"),
];

/// `recovery` of the installation.
const RECOVERY: Duration = Duration::from_secs(15);

/// One of this many requests goes to the service without keys.
const OTHER_SERVICE: usize = 10;

/// Sends requests through all machines for some time. Returns how many were sent and served, and the reasons for the others.
fn measure(fleet: &Fleet, record: &Record, time: Duration) -> (usize, usize) {
    let until = Instant::now() + time;
    let (mut served, mut sent) = (0, 0);
    while Instant::now() < until {
        for (index, machine) in fleet.machines.iter().enumerate() {
            let (path, key) = match sent % OTHER_SERVICE {
                0 => ("/audit/x", 1),
                _ => ("/flavour/x", (sent * 7_919 + index) % 65_536),
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
                "sent {path} key {key} to {}: {outcome} {}",
                machine.name,
                reason.unwrap_or_default()
            ));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    (served, sent)
}

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let plan = Plan {
        machines: &MACHINES,
        keep: Duration::from_secs(300),
        manifest: &manifest(1),
        work: Duration::from_millis(5),
    };
    let mut fleet = Fleet::start(&plan, record);
    if !fleet.wait_until_serving(Duration::from_secs(25)) {
        record.note("the fleet never served");
        return Verdict::CannotRun;
    }
    std::thread::sleep(Duration::from_secs(3));
    let (served, sent) = measure(&fleet, record, Duration::from_secs(5));
    record.note(&format!("before: {served} of {sent} served"));
    if served * 4 < sent {
        return Verdict::CannotRun;
    }
    if has_trouble {
        for machine in &mut fleet.machines {
            machine.kill();
        }
        fleet.remove_machine(0);
        record.note("all machines lose power, and the first never comes back");
        std::thread::sleep(Duration::from_secs(2));
        for machine in &mut fleet.machines {
            machine.spawn();
        }
        let (service, zone) = MACHINES[0];
        fleet.add_machine(service, zone).spawn();
        record.note("power is back, and another machine has come at a new address");
    }
    std::thread::sleep(RECOVERY + Duration::from_secs(5));
    let (served, sent) = measure(&fleet, record, Duration::from_secs(15));
    let ready = fleet
        .machines
        .iter()
        .filter(|machine| machine.is_ready())
        .count();
    let held: usize = fleet
        .machines
        .iter()
        .map(|machine| machine.server.held_keys())
        .sum();
    record.note(&format!(
        "later than recovery: {served} of {sent} served, {ready} of {} ready, {held} of 65536 keys are held",
        fleet.machines.len()
    ));
    match served * 4 < sent {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
