//! A server leaves, and answers to requests that it has run are lost.

use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Fleet, Plan, new_id};
use crate::manifest;
use crate::record::Record;

const MACHINES: [(&str, &str); 6] = [
    ("batch-desk", "dundee-docks"),
    ("batch-desk", "perth-west"),
    ("batch-desk", "arbroath"),
    ("cold-ledger", "dundee-docks"),
    ("cold-ledger", "perth-west"),
    ("cold-ledger", "arbroath"),
];

/// Index of the machine whose server leaves. Requests are sent from those before it.
const LEAVING: usize = 3;

/// `drain` of the installation.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time that a request runs, within the timeout of its route, which is 3 s here.
const WORK: Duration = Duration::from_millis(2_200);

/// Largest share of its answers that the server may lose.
const MAX_LOST: f64 = 0.05;

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let manifest = manifest(1).replace(
        "\"safe\",\"1000ms\",\"400ms\"",
        "\"safe\",\"3000ms\",\"800ms\"",
    );
    let plan = Plan {
        machines: &MACHINES,
        keep: Duration::from_secs(300),
        manifest: &manifest,
        work: Duration::from_millis(300),
    };
    let fleet = Fleet::start(&plan, record);
    if !fleet.wait_until_serving(Duration::from_secs(60)) {
        record.note("the fleet never served");
        return Verdict::CannotRun;
    }
    let leaving = &fleet.machines[LEAVING].server;
    // Opens connections that the later requests use again.
    std::thread::scope(|scope| {
        for number in 0..180 {
            scope.spawn(|| send(&fleet, 0, record));
            std::thread::sleep(Duration::from_millis(if number % 30 == 29 {
                600
            } else {
                5
            }));
        }
    });
    for machine in &fleet.machines[LEAVING..] {
        machine.server.set_work(WORK);
    }
    let acknowledged = std::thread::scope(|scope| {
        let mut acknowledged = None;
        for number in 0..16 {
            let fleet = &fleet;
            scope.spawn(move || send(fleet, number, record));
            std::thread::sleep(Duration::from_millis(50));
            if number == 3 {
                acknowledged = leaving.leave();
                if let (Some(at), true) = (acknowledged, has_trouble) {
                    leaving.lose_answers_from(at + DRAIN);
                }
            }
        }
        acknowledged
    });
    let Some(at) = acknowledged else {
        record.note("the departure was not acknowledged");
        return Verdict::CannotRun;
    };
    std::thread::sleep(Duration::from_secs(1));
    let arrivals = leaving.arrivals();
    let lost = leaving.lost_answers();
    record.note(&format!(
        "{} requests arrived at the leaving server, and {lost} of its answers were lost",
        arrivals.len()
    ));
    let late = arrivals.iter().filter(|(_, arrived)| *arrived > at + DRAIN);
    let late: Vec<_> = late.collect();
    for (id, arrived) in &late {
        let after = arrived.duration_since(at).as_millis();
        record.note(&format!(
            "{id} reached it {after} ms after the acknowledgement that it leaves"
        ));
    }
    if has_trouble && (lost == 0 || lost as f64 > MAX_LOST * arrivals.len() as f64) {
        return Verdict::CannotRun;
    }
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

fn send(fleet: &Fleet, number: usize, record: &Arc<Record>) {
    let id = new_id();
    let machine = &fleet.machines[number % LEAVING];
    let answer = machine.send_as(&id, "GET", "/audit/x", 1, 3_000);
    let status = answer.map(|answer| answer.status());
    record.line(&format!("sent {id} to {}: {status:?}", machine.name));
}
