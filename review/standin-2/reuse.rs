//! A server ends for good, and its address goes to a server of another service. The settings of the machine say so.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{self, HOST};
use crate::fleet::{Machine, MachineConfig};
use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::Verdict;

/// Services of the machines in turn, each with a route of its own: safe and unsafe requests.
const SERVICES: [&str; 2] = ["statut", "commande"];

/// The machine whose server ends, one of the second service.
const MACHINE: usize = 1;

/// Service of the server that gets the address.
const OTHER: &str = SERVICES[0];

/// `reuse_delay` of the sheet is 2 s.
const REUSE_DELAY: Duration = Duration::from_millis(2_300);

/// Length of `platform_down` in the site file.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// Time before the new server starts at which the store begins to refuse calls.
const OUTAGE_BEFORE: Duration = Duration::from_millis(300);

/// Time after SIGHUP from which requests of the machine must state its new service, `config_apply` of the sheet.
const APPLIED_AFTER: f64 = 2.0;

const DEADLINE: Duration = Duration::from_millis(1_500);

/// What is checked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Check {
    /// No request runs at a server of another service, also while the store refuses calls.
    Route,
    /// Requests state the service of the machine where they began. The store is sound.
    CallerService,
}

/// Index of the machine and time of each request that was sent, by its id.
type Origins = Arc<Mutex<BTreeMap<String, (usize, f64)>>>;

fn manifest() -> Vec<u8> {
    let text = format!(
        r#"{{"version":1,
"routes":{{"columns":["name","host","path_prefix","route_kind","timeout","target_latency","priority","service","retry_attempts","public","traffic_split"],
"rows":[["r-statut","{HOST}","/statut/","safe","1500ms","600ms",2,"statut",2,false,null],
["r-commande","{HOST}","/commande/","unsafe","1500ms","600ms",1,"commande",2,false,null]]}},
"services":{{"columns":["name","health_path","max_connections","protocol","tls","warmup","warmup_per_s","sharded","warm","grants"],
"rows":[["statut","/health",78,"h1",false,null,null,null,null,null],["commande","/health",78,"h1",false,null,null,null,null,null]]}},
"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}}}"#
    );
    text.replace('\n', "").into_bytes()
}

fn send(entry: SocketAddr, index: usize, number: usize, record: &Record, origins: &Origins) {
    let service = SERVICES[number % 2];
    let method = if service == "statut" { "GET" } else { "POST" };
    let path = format!("/{service}/{number}");
    let (head, id) = client::head(method, &path, None, DEADLINE);
    let at = record.now();
    origins.lock().unwrap().insert(id.clone(), (index, at));
    let answer = http::call(entry, &head, b"", DEADLINE);
    let answer = answer.map_or_else(|error| error, |answer| answer.status().to_string());
    record.line(&format!(
        "sent id={id} at={at:.3} to={entry} path={path} answer={answer}"
    ));
}

pub fn run(record: &Arc<Record>, check: Check, has_trouble: bool, folder: &Path) -> Verdict {
    let store = Store::start(Duration::from_secs(20));
    store.put("keyed.op", "config", &manifest());
    let zones = ["dundee-docks", "perth-west", "arbroath"];
    let mut machines = Vec::new();
    for index in 0..6_u8 {
        let place = usize::from(index);
        let config = MachineConfig {
            index,
            zone: zones[place / 2],
            service: SERVICES[place % 2],
            is_sharded: false,
            slots: 12,
            work: Duration::from_millis(20),
            answer_bytes: 300,
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
    thread::sleep(Duration::from_secs(10));
    let (is_over, origins) = (Arc::new(AtomicBool::new(false)), Origins::default());
    let senders: Vec<_> = (0..24_usize)
        .map(|sender| {
            let (is_over, record, origins) = (is_over.clone(), record.clone(), origins.clone());
            let index = sender % machines.len();
            let entry = machines[index].outbound;
            thread::spawn(move || {
                let mut number = sender * 100_000;
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    send(entry, index, number, &record, &origins);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    record.say("traffic starts");
    thread::sleep(Duration::from_secs(5));
    let mut servers = Vec::new();
    for (index, machine) in machines.iter().enumerate() {
        let server = machine.server().expect("the server runs");
        servers.push((server, SERVICES[index % 2]));
    }
    let mut changed_at = f64::MAX;
    if has_trouble {
        machines[MACHINE].crash_server();
        record.say(&format!("{} ends for good", servers[MACHINE].0.id));
        thread::sleep(REUSE_DELAY - OUTAGE_BEFORE);
        if check == Check::Route {
            store.refuse_for(OUTAGE);
            record.say(&format!("the store refuses all calls, for {} s", OUTAGE.as_secs_f64()));
        }
        thread::sleep(OUTAGE_BEFORE);
        machines[MACHINE].change_service(OTHER);
        let server = machines[MACHINE].start_server_of(OTHER);
        record.say(&format!(
            "{}, of the service {OTHER}, has its address; the settings say so, and SIGHUP was sent",
            server.id
        ));
        changed_at = record.now();
        servers.push((server, OTHER));
    }
    thread::sleep(Duration::from_secs(10));
    is_over.store(true, Ordering::Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    let origins = origins.lock().unwrap();
    let (mut misrouted, mut misnamed, mut runs) = (0, 0, 0);
    for (server, service) in &servers {
        for (id, path, caller) in server.runs() {
            runs += 1;
            if !path.starts_with(&format!("/{service}/")) {
                misrouted += 1;
                record.line(&format!(
                    "another service: {path} id={id} ran at {} of {service}",
                    server.id
                ));
            }
            let (index, at) = origins[&id];
            let own = match index == MACHINE && at > changed_at {
                true if at < changed_at + APPLIED_AFTER => continue,
                true => OTHER,
                false => SERVICES[index % 2],
            };
            if caller != own {
                misnamed += 1;
                record.line(&format!("wrong origin: id={id} of {own} ran as of {caller}"));
            }
        }
    }
    record.say(&format!("{runs} requests ran"));
    record.say(&format!(
        "{misrouted} of them at a server of a service to which no manifest sends them"
    ));
    record.say(&format!(
        "{misnamed} of them with another service than that of the machine where they began"
    ));
    if runs < 1_000 {
        return Verdict::CannotRun;
    }
    let broken = match check {
        Check::Route => misrouted,
        Check::CallerService => misnamed,
    };
    match broken > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
