//! Consumers on the machines, and the manifest under which they send.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

pub const HOST: &str = "ficu95.example";
pub const KEYED: &str = "batch-desk";
pub const KEYLESS: &str = "cold-ledger";
const TENANTS: u64 = 8;

/// Time limit of each request.
const DEADLINE: Duration = Duration::from_millis(1_500);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// The manifest of `op/config`, in the form that `fleetbench wire` shows.
pub fn manifest(version: u64) -> Vec<u8> {
    let tenants: Vec<String> = (0..TENANTS)
        .map(|tenant| format!(r#"["tenant-{tenant}",["{}"],1,1000,1000]"#, api_key(tenant)))
        .collect();
    let tenants = tenants.join(",");
    let text = format!(
        r#"{{"version":{version},
"routes":{{"columns":["name","host","path_prefix","route_kind","timeout","target_latency","priority","service","retry_attempts","public","traffic_split"],
"rows":[["r-card","{HOST}","/card/","safe","1500ms","400ms",2,"{KEYED}",2,false,null],
["r-book","{HOST}","/book/","unsafe","1500ms","500ms",1,"{KEYED}",2,false,null],
["r-audit","{HOST}","/audit/","safe","1500ms","800ms",2,"{KEYLESS}",2,false,null]]}},
"services":{{"columns":["name","health_path","max_connections","protocol","tls","warmup","warmup_per_s","sharded","warm","grants"],
"rows":[["{KEYED}","/health",78,"h1",false,null,null,true,"3s","heartbeat"],["{KEYLESS}","/health",78,"h1",false,null,null,null,null,null]]}},
"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}},
"tenants":{{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[{tenants}]}}}}"#
    );
    text.replace('\n', "").into_bytes()
}

/// The same, with servers of the first service that are cold for 3 s after their start, as on the sheet.
pub fn manifest_with_warmup(version: u64) -> Vec<u8> {
    let text = String::from_utf8(manifest(version)).unwrap();
    let row = |warmup: &str| format!(r#"["{KEYED}","/health",78,"h1",false,{warmup},true"#);
    text.replace(&row("null,null"), &row(r#""3s",19.0"#)).into_bytes()
}

fn api_key(tenant: u64) -> String {
    format!("3fexd9dnn2ctnfzs98{tenant}a")
}

/// Returns the head of a request without its last empty line, and its id.
pub fn head(method: &str, path: &str, key: Option<u32>, deadline: Duration) -> (String, String) {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let (id, api_key) = (format!("{number:016x}"), api_key(number % TENANTS));
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Bearer {api_key}\r\n",
        deadline.as_millis()
    );
    if let Some(key) = key {
        head.push_str(&format!("X-Shard-Key: {key}\r\n"));
    }
    (head, id)
}

/// A request that a consumer sent: when, and whether it was served.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: f64,
    pub served: bool,
}

/// Consumers of all machines, which send until they are stopped.
pub struct Consumers {
    is_stopped: Arc<AtomicBool>,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Consumers {
    /// Starts two consumers at each address, which send a request every `pause`.
    pub fn start(entries: &[SocketAddr], pause: Duration, record: &Arc<Record>) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(Mutex::new(Vec::new()));
        let mut threads = Vec::new();
        for (index, entry) in entries.iter().enumerate() {
            for is_keyed in [true, false] {
                let (entry, is_stopped) = (*entry, is_stopped.clone());
                let (sent, record) = (sent.clone(), record.clone());
                threads.push(thread::spawn(move || {
                    let mut number = index as u32;
                    while !is_stopped.load(Ordering::Relaxed) {
                        number += 1;
                        let request = send_one(entry, is_keyed, number, &record);
                        sent.lock().unwrap().push(request);
                        thread::sleep(pause);
                    }
                }));
            }
        }
        Self {
            is_stopped,
            sent,
            threads,
        }
    }

    pub fn stop(self) -> Vec<Sent> {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let sent = self.sent.lock().unwrap();
        sent.clone()
    }
}

fn send_one(entry: SocketAddr, is_keyed: bool, number: u32, record: &Record) -> Sent {
    let key = is_keyed.then(|| number.wrapping_mul(2_654_435_761) >> 16);
    let path = if is_keyed { "/card/" } else { "/audit/" };
    let (head, id) = head("GET", &format!("{path}{number}"), key, DEADLINE);
    let at = record.now();
    let answer = http::call(entry, &head, b"", DEADLINE);
    let (served, text) = match &answer {
        Ok(answer) => {
            let is_whole = answer.header("x-server-stamp").is_some();
            (answer.status() == 200 && is_whole, answer.status().to_string())
        }
        Err(error) => (false, error.clone()),
    };
    record.line(&format!(
        "sent id={id} at={at:.3} to={entry} path={path}{number} answer={text}"
    ));
    Sent { at, served }
}

/// Returns the share of the requests sent in a span that were served, and their number.
pub fn served_share(sent: &[Sent], from: f64, to: f64) -> (f64, usize) {
    let span: Vec<&Sent> = sent.iter().filter(|sent| sent.at >= from && sent.at < to).collect();
    let served = span.iter().filter(|sent| sent.served).count();
    (served as f64 / span.len().max(1) as f64, span.len())
}
