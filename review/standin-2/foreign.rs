//! A check-in of another writer, which names a service that no manifest has, arrives at one process.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, served_share, Consumers, KEYED, KEYLESS};
use crate::fleet::{Machine, MachineConfig};
use crate::http;
use crate::record::Record;
use crate::server::unix_ms;
use crate::store::Store;
use crate::Verdict;

/// Time for which two servers may hold the same keys, by the rule.
const BOUND: Duration = Duration::from_millis(500);

/// Time between two looks at what the servers hold.
const LOOK: Duration = Duration::from_millis(10);

/// Returns the first pair of servers that hold the same key, with a range of such keys.
fn shared_keys(machines: &[Arc<Machine>]) -> Option<(String, String, u32, u32)> {
    let mut held = BTreeMap::new();
    for server in machines.iter().filter_map(|machine| machine.server()) {
        for (from, to) in server.held_ranges() {
            let before = held.range(..=to).next_back();
            let before = before.filter(|(_, (last, _))| from <= *last);
            if let Some((first, (last, other))) = before {
                let range = (from.max(*first), to.min(*last));
                return Some((String::clone(other), server.id.clone(), range.0, range.1));
            }
            held.insert(from, (to, server.id.clone()));
        }
    }
    None
}

pub fn run(record: &Arc<Record>, has_trouble: bool, folder: &Path) -> Verdict {
    let store = Store::start(Duration::from_secs(20));
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
            warmup: Duration::ZERO,
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
    thread::sleep(Duration::from_secs(8));
    let at = record.now();
    if has_trouble {
        let control = machines[0].control();
        let head = format!(
            "POST /rpc?call=instances.heartbeat&of=i-odd HTTP/1.1\r\nhost: {control}\r\ncontent-type: application/json\r\n"
        );
        let body = format!(
            "{{\"address\":\"127.0.0.1:9\",\"born\":{},\"info\":{{\"service\":\"not-named-here\",\"version\":\"v1\",\
             \"zone\":\"dundee-docks\",\"slots\":4}},\"status\":{{\"state\":\"ready\",\"seq\":1,\"warmup_left\":\"0ms\"}},\
             \"holds\":[],\"released\":[]}}",
            unix_ms()
        );
        let answer = http::call(control, &head, body.as_bytes(), Duration::from_secs(1));
        let answer = answer.map_or_else(|error| error, |answer| answer.first);
        record.say(&format!("another writer's check-in at {}: {answer}", machines[0].name));
    }
    let until = Instant::now() + Duration::from_secs(20);
    let (mut since, mut longest) = (None, Duration::ZERO);
    while Instant::now() < until {
        thread::sleep(LOOK);
        match shared_keys(&machines) {
            None => since = None,
            Some((one, other, from, to)) => {
                let start = *since.get_or_insert_with(|| {
                    record.say(&format!("{one} and {other} both hold the keys {from} to {to}"));
                    Instant::now()
                });
                longest = longest.max(start.elapsed());
            }
        }
    }
    let left = machines[0].server().map_or(0, |server| server.held_ranges().len());
    record.say(&format!(
        "{} ranges are held by the server of {} at the end",
        left, machines[0].name
    ));
    let sent = consumers.stop();
    let (before, count_before) = served_share(&sent, at - 5.0, at);
    let (after, count_after) = served_share(&sent, at + 10.0, f64::MAX);
    record.say(&format!(
        "before: {:.1}% of {count_before} requests were served",
        before * 100.0
    ));
    record.say(&format!(
        "10 s later: {:.1}% of {count_after} requests were served",
        after * 100.0
    ));
    record.say(&format!(
        "two servers held the same keys for {} ms at the longest",
        longest.as_millis()
    ));
    if before < 0.9 {
        return Verdict::CannotRun;
    }
    match longest > BOUND {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
