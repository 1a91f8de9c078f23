//! A process freezes while requests that it has passed on run elsewhere, and the server that ran them crashes and comes back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, HOST, KEYED, KEYLESS};
use crate::fleet::{Machine, MachineConfig};
use crate::http;
use crate::record::Record;
use crate::server::LONG_PREFIX;
use crate::store::Store;
use crate::Verdict;

/// The machine whose server runs the requests, and the one that passes them on.
const HOME: usize = 0;
const ENTRY: usize = 1;

/// Number of unsafe requests.
const REQUESTS: u32 = 8;

/// Time limit of the unsafe requests and their route.
const DEADLINE: Duration = Duration::from_secs(5);

/// Time limit of the other requests, that of `flavour-check`, and the time limit of their route.
const SHORT_DEADLINE: Duration = Duration::from_millis(800);

/// Time from the start of the freeze to the crash of the server, which has answered by then.
const CRASH_AFTER: Duration = Duration::from_millis(1_700);

/// Time for which the server is down.
const DOWN: Duration = Duration::from_millis(200);

/// `for_s` of `node_freeze` in the site file.
const FREEZE: Duration = Duration::from_millis(3_800);

/// Status of each unsafe request, by its id.
type Answers = Arc<Mutex<BTreeMap<String, String>>>;

fn manifest() -> Vec<u8> {
    let text = format!(
        r#"{{"version":1,
"routes":{{"columns":["name","host","path_prefix","route_kind","timeout","target_latency","priority","service","retry_attempts","public","traffic_split"],
"rows":[["r-plan","{HOST}","{LONG_PREFIX}","unsafe","5s","4s",1,"{KEYED}",2,false,null],
["r-card","{HOST}","/card/","safe","800ms","400ms",2,"{KEYED}",2,false,null],
["r-audit","{HOST}","/audit/","safe","1500ms","800ms",2,"{KEYLESS}",2,false,null]]}},
"services":{{"columns":["name","health_path","max_connections","protocol","tls","warmup","warmup_per_s","sharded","warm","grants"],
"rows":[["{KEYED}","/health",78,"h1",false,null,null,true,"3s","heartbeat"],["{KEYLESS}","/health",78,"h1",false,null,null,null,null,null]]}},
"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}}}"#
    );
    text.replace('\n', "").into_bytes()
}

fn send(entry: SocketAddr, method: &str, path: &str, key: Option<u32>, limit: Duration, record: &Record) -> (String, String) {
    let (head, id) = client::head(method, path, key, limit);
    let at = record.now();
    let answer = http::call(entry, &head, b"", limit + Duration::from_millis(500));
    let answer = answer.map_or_else(|error| error, |answer| answer.status().to_string());
    record.line(&format!("sent id={id} at={at:.3} to={entry} path={path} answer={answer}"));
    (id, answer)
}

/// Sends the unsafe requests at once, each for another key of the home.
fn send_unsafe(entry: SocketAddr, ranges: &[(u32, u32)], record: &Arc<Record>, answers: &Answers) -> Vec<thread::JoinHandle<()>> {
    (0..REQUESTS)
        .map(|number| {
            let (first, last) = ranges[number as usize % ranges.len()];
            let key = (first + number).min(last);
            let (record, answers) = (record.clone(), answers.clone());
            thread::spawn(move || {
                let path = format!("{LONG_PREFIX}{number}");
                let (id, answer) = send(entry, "POST", &path, Some(key), DEADLINE, &record);
                answers.lock().unwrap().insert(id, answer);
            })
        })
        .collect()
}

pub fn run(record: &Arc<Record>, has_trouble: bool, folder: &Path) -> Verdict {
    let store = Store::start(Duration::from_secs(20));
    store.put("keyed.op", "config", &manifest());
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
    thread::sleep(Duration::from_secs(12));
    let is_over = Arc::new(AtomicBool::new(false));
    let senders: Vec<_> = (0..12_usize)
        .map(|sender| {
            let (is_over, record) = (is_over.clone(), record.clone());
            let entry = machines[sender % machines.len()].outbound;
            thread::spawn(move || {
                let mut number = sender * 100_000;
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let key = (number as u32).wrapping_mul(2_654_435_761) >> 16;
                    send(entry, "GET", &format!("/card/{number}"), Some(key), SHORT_DEADLINE, &record);
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    record.say("traffic starts");
    thread::sleep(Duration::from_secs(4));
    let mut servers: Vec<_> = machines.iter().filter_map(|machine| machine.server()).collect();
    let ranges = servers[HOME].held_ranges();
    if ranges.is_empty() {
        return Verdict::CannotRun;
    }
    let answers = Answers::default();
    let requests = send_unsafe(machines[ENTRY].outbound, &ranges, record, &answers);
    thread::sleep(Duration::from_millis(300));
    record.say(&format!("{REQUESTS} unsafe requests were sent to {}", machines[ENTRY].name));
    if has_trouble {
        let frozen_at = Instant::now();
        machines[ENTRY].freeze_process();
        record.say(&format!("{} stands still, for {} s", machines[ENTRY].name, FREEZE.as_secs_f64()));
        thread::sleep(CRASH_AFTER);
        machines[HOME].crash_server();
        record.say(&format!("{} crashes, after it has answered all of them", servers[HOME].id));
        thread::sleep(DOWN);
        machines[HOME].start_server();
        let server = machines[HOME].server().expect("the server runs");
        record.say(&format!("{} starts at the same address", server.id));
        servers.push(server);
        thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
        machines[ENTRY].thaw_process();
        record.say(&format!("{} goes on", machines[ENTRY].name));
    }
    for request in requests {
        let _ = request.join();
    }
    is_over.store(true, Ordering::Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for (id, path, _) in servers.iter().flat_map(|server| server.runs()) {
        if path.starts_with(LONG_PREFIX) {
            *runs.entry(id).or_default() += 1;
        }
    }
    let answers = answers.lock().unwrap();
    for (id, answer) in answers.iter() {
        let count = runs.get(id).copied().unwrap_or(0);
        record.say(&format!("unsafe request {id}: ran {count} times, answer {answer}"));
    }
    let twice = runs.values().filter(|count| **count > 1).count();
    let is_promise = |answer: &str| matches!(answer, "408" | "421" | "429" | "503");
    let refused = answers.iter().filter(|(id, answer)| runs.contains_key(*id) && is_promise(answer)).count();
    record.say(&format!("{} unsafe requests ran, {twice} of them more than once", runs.len()));
    record.say(&format!("{refused} of them were answered with a promise that they had not run"));
    if runs.is_empty() {
        return Verdict::CannotRun;
    }
    match twice + refused > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
