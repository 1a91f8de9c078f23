//! Machines lose power at once. Some are back soon; the rest are gone for good, and others take their place.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, Consumers, KEYED, KEYLESS, served_share};
use crate::fleet::{Machine, MachineConfig};
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 4] = ["dundee-docks", "perth-west", "arbroath", "forfar"];

/// Machines of the deployment, the first half beside servers of the service that is divided by key.
const MACHINES: u8 = 8;

/// Time between the loss and the start of the machines.
const DARK: Duration = Duration::from_secs(2);

/// `recovery` of the sheet.
const RECOVERY: f64 = 15.0;

/// Time of traffic that is judged before the power is lost, and after the recovery.
const SPAN: f64 = 10.0;

/// Returns the machine with a number. Numbers from [`MACHINES`] on are those of machines that take the place of others.
fn machine(number: u8, store: SocketAddr, folder: &Path, record: &Arc<Record>) -> Arc<Machine> {
    let place = usize::from(number % MACHINES);
    let is_sharded = place < ZONES.len();
    let config = MachineConfig {
        index: number,
        zone: ZONES[place % ZONES.len()],
        service: if is_sharded { KEYED } else { KEYLESS },
        is_sharded,
        slots: 12,
        work: Duration::from_millis(20),
        answer_bytes: 500,
        store,
        folder,
    };
    Machine::new(&config, record)
}

fn start(machines: &[Arc<Machine>]) {
    for machine in machines {
        machine.start_process();
        machine.start_server();
    }
}

fn entries(machines: &[Arc<Machine>]) -> Vec<SocketAddr> {
    machines.iter().map(|machine| machine.outbound).collect()
}

pub fn run(record: &Arc<Record>, has_trouble: bool, folder: &Path) -> Verdict {
    // Machines that are gone for good, and whether the others lose power as well.
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u8>().ok());
    let lost = number("LOST").unwrap_or(6).min(MACHINES);
    let others_restart = number("RESTART").unwrap_or(1) != 0;
    // One of each service in turn, in all zones.
    let order = [0, 5, 2, 7, 1, 4, 3, 6];
    let is_lost = |place: u8| order[..usize::from(lost)].contains(&place);
    let store = Store::start(Duration::from_secs(20));
    store.put("keyed.op", "config", &client::manifest(1));
    let first: Vec<Arc<Machine>> = (0..MACHINES)
        .map(|number| machine(number, store.address, folder, record))
        .collect();
    start(&first);
    thread::sleep(Duration::from_secs(8));
    let pause = Duration::from_millis(100);
    let consumers = Consumers::start(&entries(&first), pause, record);
    record.say("traffic starts");
    thread::sleep(Duration::from_secs_f64(SPAN + 2.0));
    let lost_at = record.now();
    let mut sent = Vec::new();
    let (mut consumers, mut machines) = (consumers, first);
    if has_trouble {
        for place in 0..MACHINES {
            if is_lost(place) || others_restart {
                machines[usize::from(place)].kill_process();
                machines[usize::from(place)].crash_server();
            }
        }
        record.say(if others_restart { "all machines lose power" } else { "machines lose power" });
        thread::sleep(DARK);
        sent.extend(consumers.stop());
        for place in 0..MACHINES {
            let known = &mut machines[usize::from(place)];
            if is_lost(place) {
                *known = machine(MACHINES + place, store.address, folder, record);
            }
            if is_lost(place) || others_restart {
                start(std::slice::from_ref(known));
            }
        }
        record.say(&format!(
            "{lost} machines are gone for good, and new ones at other addresses have taken their place; the other {} {}",
            MACHINES - lost,
            if others_restart { "are back" } else { "were not affected" },
        ));
        consumers = Consumers::start(&entries(&machines), pause, record);
    }
    let back_at = record.now();
    let until = Instant::now() + Duration::from_secs_f64(RECOVERY + SPAN);
    while Instant::now() < until {
        thread::sleep(Duration::from_secs(5));
        let ready = machines.iter().filter(|machine| machine.is_ready()).count();
        record.say(&format!("{ready} of {MACHINES} machines say that they are ready"));
    }
    sent.extend(consumers.stop());
    let (before, count_before) = served_share(&sent, lost_at - SPAN, lost_at);
    let (after, count_after) = served_share(&sent, back_at + RECOVERY, f64::MAX);
    record.say(&format!("before: {:.1}% of {count_before} requests were served", before * 100.0));
    record.say(&format!(
        "sent later than {RECOVERY} s after the machines were back: {:.1}% of {count_after} requests were served",
        after * 100.0
    ));
    if before < 0.25 || count_after < 100 {
        return Verdict::CannotRun;
    }
    match after < 0.25 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
