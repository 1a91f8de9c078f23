//! No process runs for longer than the store keeps its history, and then all are back.
//!
//! Variants: all machines lose power (`power`), servers and processes are stopped as planned (`planned`), or the store
//! forgets its history and all processes are killed for a moment (`forget`).

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, Consumers, KEYED, KEYLESS, served_share};
use crate::fleet::{Machine, MachineConfig};
use crate::record::Record;
use crate::store::Store;

/// The store's history, of the sheet in SYSTEM.md.
const KEEP: Duration = Duration::from_secs(20);

/// `recovery` of the sheet.
const RECOVERY: f64 = 15.0;

/// Time of traffic that is judged before the power is lost, and after the recovery.
const SPAN: f64 = 10.0;

pub fn run(record: &Arc<Record>, has_trouble: bool, folder: &Path) -> Verdict {
    let variant = std::env::var("VARIANT").unwrap_or_else(|_| "power".to_owned());
    let store = Store::start(KEEP);
    store.put("keyed.op", "config", &client::manifest(1));
    let zones = ["dundee-docks", "perth-west", "arbroath"];
    let mut machines = Vec::new();
    for (index, zone) in zones.iter().cycle().take(6).enumerate() {
        let is_sharded = index < zones.len();
        let config = MachineConfig {
            index: index as u8,
            zone,
            service: if is_sharded { KEYED } else { KEYLESS },
            is_sharded,
            slots: 12,
            work: Duration::from_millis(20),
            answer_bytes: 500,
            store: store.address,
            folder,
        };
        machines.push(Machine::new(&config, record));
    }
    for machine in &machines {
        machine.start_process();
        machine.start_server();
    }
    let entries: Vec<_> = machines.iter().map(|machine| machine.outbound).collect();
    thread::sleep(Duration::from_secs(8));
    let consumers = Consumers::start(&entries, Duration::from_millis(100), record);
    record.say("traffic starts");
    thread::sleep(Duration::from_secs_f64(SPAN + 2.0));
    let lost_at = record.now();
    if has_trouble {
        let dark = match variant.as_str() {
            // The store forgets its history, and all processes are killed and start again.
            "forget" => {
                store.forget();
                record.say("the store has dropped its history");
                Duration::from_millis(950)
            }
            _ => Duration::from_secs(24),
        };
        if variant == "planned" {
            let stopping = machines.iter().cloned().map(|machine| thread::spawn(move || machine.stop()));
            stopping.collect::<Vec<_>>().into_iter().for_each(|thread| thread.join().unwrap());
        }
        for machine in &machines {
            machine.kill_process();
            if variant != "forget" {
                machine.crash_server();
            }
        }
        record.say(&format!("no process runs, for {} s", dark.as_secs_f64()));
        thread::sleep(dark);
        for machine in &machines {
            machine.start_process();
            if variant != "forget" {
                machine.start_server();
            }
        }
    }
    let back_at = record.now();
    let (first, end) = store.offsets("fleet");
    record.say(&format!("all machines are back; the store holds {first} to {end} of topic `fleet`"));
    let until = Instant::now() + Duration::from_secs_f64(RECOVERY + SPAN);
    while Instant::now() < until {
        thread::sleep(Duration::from_secs(5));
        let ready = machines.iter().filter(|machine| machine.is_ready()).count();
        let (first, end) = store.offsets("fleet");
        record.say(&format!("{ready} of 6 machines say that they are ready; `fleet` {first} to {end}"));
    }
    let sent = consumers.stop();
    let (before, count_before) = served_share(&sent, lost_at - SPAN, lost_at);
    let (after, count_after) = served_share(&sent, back_at + RECOVERY, f64::MAX);
    record.say(&format!("before: {:.1}% of {count_before} requests were served", before * 100.0));
    record.say(&format!(
        "sent later than {RECOVERY} s after the machines were back: {:.1}% of {count_after} requests were served",
        after * 100.0
    ));
    for line in machines[0].log_lines("only keeps", 1).iter().chain(&machines[0].log_lines("keeps records", 1)) {
        record.say(&format!("log of {}: {line}", machines[0].name));
    }
    if before < 0.25 || count_after < 100 {
        return Verdict::CannotRun;
    }
    match after < 0.25 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
