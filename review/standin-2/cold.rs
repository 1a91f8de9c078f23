//! More requests than a cold server bears: a check-in of its former lifetime arrives late, or it turns cold while it runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, KEYED, KEYLESS};
use crate::fleet::{Machine, MachineConfig};
use crate::http;
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;
use crate::Verdict;

/// `warmup` and `warmup_per_s` of the site's services.
const WARMUP: Duration = Duration::from_secs(3);
const WARMUP_PER_S: f64 = 19.0;

/// `warmup_overage` and `warmup_slack` of the sheet.
const WARMUP_OVERAGE: f64 = 1.5;
const WARMUP_SLACK: f64 = 5.0;

/// Time for which the server is down. `srv_crash` lasts up to 4.5 s.
const DOWN: Duration = Duration::from_secs(2);

/// Time between two requests of one consumer. Each server with keys gets some 50 requests a second, as on the sheet.
const PAUSE: Duration = Duration::from_millis(90);

const DEADLINE: Duration = Duration::from_millis(1_500);

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// A server crashes and starts again as a new lifetime, and a check-in of the former one arrives late.
    LateCheckIn,
    /// A server turns cold while it runs.
    TurnsCold,
}

type SentTimes = Arc<Mutex<BTreeMap<String, f64>>>;

fn send(entry: SocketAddr, number: u32, record: &Record, sent: &SentTimes) {
    let key = number.wrapping_mul(2_654_435_761) >> 16;
    let (method, route) = if number % 2 == 0 {
        ("GET", "card")
    } else {
        ("POST", "book")
    };
    let path = format!("/{route}/{number}");
    let (head, id) = client::head(method, &path, Some(key), DEADLINE);
    let at = record.now();
    sent.lock().unwrap().insert(id.clone(), at);
    let answer = http::call(entry, &head, b"", DEADLINE);
    let answer = answer.map_or_else(|error| error, |answer| answer.status().to_string());
    record.line(&format!(
        "sent id={id} at={at:.3} to={entry} path={path} answer={answer}"
    ));
}

/// Crashes the server of a machine, starts its next lifetime, and lets a check-in of the former one arrive late.
fn restart_server(machine: &Machine, has_trouble: bool, record: &Record) -> Arc<Server> {
    let former = machine.server().expect("the server runs");
    // This check-in is on its way while its sender crashes.
    let (path, body) = former.current_check_in();
    machine.crash_server();
    record.say(&format!("{} crashes", former.id));
    thread::sleep(DOWN);
    machine.start_server();
    let server = machine.server().expect("the server runs");
    record.say(&format!(
        "{} starts at the same address, and is cold for 3 s",
        server.id
    ));
    let limit = Instant::now() + Duration::from_secs(10);
    while server.held_ranges().is_empty() && Instant::now() < limit {
        thread::sleep(Duration::from_millis(10));
    }
    record.say(&format!(
        "{} has registered and holds keys, after {} check-ins",
        server.id,
        server.check_ins()
    ));
    if has_trouble {
        let control = machine.control();
        let head = format!("POST {path} HTTP/1.1\r\nhost: {control}\r\ncontent-type: application/json\r\n");
        let answer = http::call(control, &head, body.as_bytes(), Duration::from_secs(1));
        let answer = answer.map_or_else(|error| error, |answer| answer.first);
        record.say(&format!("the check-in of {} arrives late: {answer}", former.id));
    }
    server
}

pub fn run(record: &Arc<Record>, trouble: Trouble, has_trouble: bool, folder: &Path) -> Verdict {
    let store = Store::start(Duration::from_secs(20));
    store.put("keyed.op", "config", &client::manifest_with_warmup(1));
    let zones = ["dundee-docks", "perth-west"];
    let mut machines = Vec::new();
    for index in 0..4_u8 {
        let is_sharded = index < 2;
        let config = MachineConfig {
            index,
            zone: zones[usize::from(index % 2)],
            service: if is_sharded { KEYED } else { KEYLESS },
            is_sharded,
            slots: 12,
            work: Duration::from_millis(20),
            answer_bytes: 500,
            warmup: if is_sharded { WARMUP } else { Duration::ZERO },
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
    let sent = SentTimes::default();
    let senders: Vec<_> = (0..12_u32)
        .map(|index| {
            let (is_over, record, sent) = (is_over.clone(), record.clone(), sent.clone());
            let entry = machines[index as usize % machines.len()].outbound;
            thread::spawn(move || {
                let mut number = index * 100_000;
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    send(entry, number, &record, &sent);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    record.say("traffic starts");
    thread::sleep(Duration::from_secs(5));
    let server = match trouble {
        Trouble::LateCheckIn => restart_server(&machines[0], has_trouble, record),
        Trouble::TurnsCold => {
            let server = machines[0].server().expect("the server runs");
            if has_trouble {
                server.turn_cold();
                record.say(&format!("{} turns cold, for 3 s", server.id));
            }
            server
        }
    };
    thread::sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    let sent = sent.lock().unwrap();
    let arrivals = server.cold_arrivals();
    for (at, id) in &arrivals {
        record.line(&format!("arrived while cold id={id} at={at:.3}"));
    }
    // The rule counts requests that were sent and arrived inside one second.
    let most = arrivals
        .iter()
        .map(|(end, _)| {
            let is_inside = |at: f64| at > end - 1.0 && at <= *end;
            let inside = arrivals
                .iter()
                .filter(|(at, id)| is_inside(*at) && sent.get(id).is_some_and(|sent| is_inside(*sent)));
            inside.count()
        })
        .max()
        .unwrap_or(0);
    let bound = WARMUP_PER_S * WARMUP_OVERAGE + WARMUP_SLACK;
    record.say(&format!(
        "{} requests came to {} while it was cold",
        arrivals.len(),
        server.id
    ));
    record.say(&format!("at most {most} of them in one second; the bound is {bound}"));
    if arrivals.is_empty() && (has_trouble || trouble == Trouble::LateCheckIn) {
        return Verdict::CannotRun;
    }
    match most as f64 > bound {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
