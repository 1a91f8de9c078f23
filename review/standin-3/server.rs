//! An application server that holds keys and checks in at the process on its machine.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, call, read_message, write_response};
use crate::json::Json;
use crate::record::{Record, unix_ms};

const KEYS: usize = 65_536;

pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub sharded: bool,
    pub slots: usize,
    pub work: Duration,
    pub heartbeat: Duration,
}

struct Holds {
    fence: Vec<u64>,
    highest: Vec<u64>,
    leaving: Vec<bool>,
    running: Vec<u32>,
    until: Option<Instant>,
    released: Vec<(usize, usize, String)>,
}

pub struct Server {
    pub address: SocketAddr,
    control: SocketAddr,
    options: Options,
    born: u64,
    holds: Mutex<Holds>,
    state: Mutex<&'static str>,
    is_gone: AtomicBool,
    /// Number of the last check-in. Locked while one is sent.
    seq: Mutex<u64>,
    connections: Mutex<Vec<TcpStream>>,
    running: AtomicU64,
    record: Arc<Record>,
    work: Mutex<Duration>,
    /// Requests that arrived, each with the time.
    arrivals: Mutex<Vec<(String, Instant)>>,
    /// Time from which the answers to requests that have run are lost.
    loses_from: Mutex<Option<Instant>>,
    lost: AtomicU64,
    /// Number of check-ins that were acknowledged.
    acknowledged: AtomicU64,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        control: SocketAddr,
        options: Options,
        record: Arc<Record>,
    ) -> Arc<Server> {
        let listener = TcpListener::bind(address).unwrap();
        let work = Mutex::new(options.work);
        let server = Arc::new(Server {
            address,
            control,
            options,
            born: unix_ms(),
            holds: Mutex::new(Holds {
                fence: vec![0; KEYS],
                highest: vec![0; KEYS],
                leaving: vec![false; KEYS],
                running: vec![0; KEYS],
                until: None,
                released: Vec::new(),
            }),
            state: Mutex::new("ready"),
            is_gone: AtomicBool::new(false),
            seq: Mutex::default(),
            connections: Mutex::default(),
            running: AtomicU64::new(0),
            record,
            work,
            arrivals: Mutex::default(),
            loses_from: Mutex::default(),
            lost: AtomicU64::new(0),
            acknowledged: AtomicU64::new(0),
        });
        let serving = Arc::clone(&server);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    serving.connections.lock().unwrap().push(copy);
                }
                let server = Arc::clone(&serving);
                std::thread::spawn(move || server.serve(stream));
            }
        });
        let beating = Arc::clone(&server);
        std::thread::spawn(move || {
            while !beating.is_gone.load(Ordering::SeqCst) {
                let mut seq = beating.seq.lock().unwrap();
                *seq += 1;
                let must_tell = beating.check_in(*seq);
                drop(seq);
                let pause = match must_tell {
                    true => Duration::from_millis(80),
                    false => beating.options.heartbeat,
                };
                std::thread::sleep(pause);
            }
        });
        server
    }

    /// Ends the server for good: nothing listens at its address any more, and its connections end.
    pub fn crash(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections, which then closes the listener.
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    pub fn set_work(&self, work: Duration) {
        *self.work.lock().unwrap() = work;
    }

    /// Reports at once that the server leaves. Returns the time of the acknowledgement.
    pub fn leave(&self) -> Option<Instant> {
        *self.state.lock().unwrap() = "draining";
        let mut seq = self.seq.lock().unwrap();
        for _ in 0..3 {
            *seq += 1;
            let acknowledged = self.check_in_once(*seq);
            if acknowledged {
                return Some(Instant::now());
            }
        }
        None
    }

    /// Loses the answers to requests that end from a time on.
    pub fn lose_answers_from(&self, from: Instant) {
        *self.loses_from.lock().unwrap() = Some(from);
    }

    pub fn lost_answers(&self) -> u64 {
        self.lost.load(Ordering::SeqCst)
    }

    pub fn arrivals(&self) -> Vec<(String, Instant)> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Returns the number of keys that the server holds now.
    pub fn held_keys(&self) -> usize {
        let mut holds = self.holds.lock().unwrap();
        holds.expire();
        holds.fence.iter().filter(|fence| **fence > 0).count()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            if !self.answer(&request, &mut writer) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let load = format!(
            "{},0,{},100",
            self.running.load(Ordering::SeqCst),
            self.options.slots
        );
        if request.target() == "/health" {
            let headers = [
                ("X-Instance-Id", &self.options.id[..]),
                ("X-Server-Load", &load),
            ];
            return write_response(writer, 200, &headers, b"");
        }
        let Some(id) = request.header("x-request-id").map(str::to_owned) else {
            return write_response(writer, 400, &[("X-Not-Executed", "1")], b"");
        };
        let key = request
            .header("x-shard-key")
            .and_then(|key| key.parse::<usize>().ok());
        let is_other = request
            .header("x-target-instance")
            .is_some_and(|target| target != self.options.id);
        let holds_key = match (self.options.sharded, key) {
            (false, _) => true,
            (true, Some(key)) if key < KEYS => self.begin(key),
            _ => false,
        };
        if is_other || !holds_key {
            let headers = [("X-Request-Id", &id[..]), ("X-Not-Executed", "1")];
            return write_response(writer, 421, &headers, b"");
        }
        self.arrivals
            .lock()
            .unwrap()
            .push((id.clone(), Instant::now()));
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        let is_full = running >= self.options.slots as u64;
        if !is_full {
            self.record
                .line(&format!("ran {id} at {}", self.options.id));
            let work = *self.work.lock().unwrap();
            std::thread::sleep(work);
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        if let (true, Some(key)) = (self.options.sharded, key) {
            self.holds.lock().unwrap().running[key] -= 1;
        }
        if is_full {
            return write_response(
                writer,
                503,
                &[("X-Request-Id", &id), ("X-Not-Executed", "1")],
                b"",
            );
        }
        if self
            .loses_from
            .lock()
            .unwrap()
            .is_some_and(|from| Instant::now() >= from)
        {
            self.lost.fetch_add(1, Ordering::SeqCst);
            self.record.line(&format!(
                "the answer to {id} is lost at {}",
                self.options.id
            ));
            let _ = writer.shutdown(Shutdown::Both);
            return false;
        }
        let stamp = format!("{}.{id}", self.options.id);
        let headers = [
            ("X-Request-Id", &id[..]),
            ("X-Server-Stamp", &stamp),
            ("X-Server-Load", &load),
        ];
        write_response(writer, 200, &headers, format!("body of {id}").as_bytes())
    }

    fn begin(&self, key: usize) -> bool {
        let mut holds = self.holds.lock().unwrap();
        holds.expire();
        let may_run = holds.fence[key] > 0 && !holds.leaving[key];
        holds.running[key] += u32::from(may_run);
        may_run
    }

    /// Sends a check-in of a server without keys. Returns whether it is acknowledged.
    fn check_in_once(&self, seq: u64) -> bool {
        let before = self.acknowledged.load(Ordering::SeqCst);
        self.check_in(seq);
        self.acknowledged.load(Ordering::SeqCst) > before
    }

    /// Sends a check-in. Returns whether another one must follow soon, since keys are to be released.
    fn check_in(&self, seq: u64) -> bool {
        let (rows, released) = {
            let mut holds = self.holds.lock().unwrap();
            holds.expire();
            holds.release();
            (holds.rows(), holds.released.clone())
        };
        let rows: Vec<String> = rows
            .iter()
            .map(|(from, to, fence)| format!("[{from},{to},{fence}]"))
            .collect();
        let gone: Vec<String> = released
            .iter()
            .map(|(from, to, token)| format!("[{from},{to},\"{token}\"]"))
            .collect();
        let held = match self.options.sharded {
            true => format!(
                ",\"holds\":[{}],\"released\":[{}]",
                rows.join(","),
                gone.join(",")
            ),
            false => String::new(),
        };
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"{}\",\"seq\":{seq},\"warmup_left\":\"0ms\"}}{held}}}",
            self.address,
            self.born,
            self.options.service,
            self.options.zone,
            self.options.slots,
            self.state.lock().unwrap(),
        );
        let target = format!("/rpc?call=instances.heartbeat&of={}", self.options.id);
        let sent = Instant::now();
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let limit = Duration::from_secs(1);
        let Ok(answer) = call(
            self.control,
            "POST",
            &target,
            &headers,
            body.as_bytes(),
            limit,
        ) else {
            return false;
        };
        if answer.status() / 100 != 2 || sent.elapsed() > limit {
            return false;
        }
        self.acknowledged.fetch_add(1, Ordering::SeqCst);
        let mut holds = self.holds.lock().unwrap();
        let told = released.len();
        holds.released.drain(..told);
        let Some(Json::List(rows)) =
            Json::parse(&answer.body).and_then(|body| body.get("holds").cloned())
        else {
            return false;
        };
        let hold_time = Json::parse(&answer.body).and_then(|body| body.get("hold_time").cloned());
        let hold_time = hold_time
            .map(|time| time.text().to_owned())
            .unwrap_or_default();
        let hold_ms = match hold_time.strip_suffix("ms") {
            Some(number) => number.parse::<f64>().unwrap_or(0.0),
            None => {
                hold_time
                    .trim_end_matches('s')
                    .parse::<f64>()
                    .unwrap_or(0.0)
                    * 1_000.0
            }
        };
        holds.take(&rows, sent + Duration::from_millis(hold_ms as u64))
    }
}

impl Holds {
    fn expire(&mut self) {
        if self.until.is_some_and(|until| Instant::now() >= until) {
            self.until = None;
            self.fence.fill(0);
            self.leaving.fill(false);
        }
    }

    /// Releases the keys that are to go and on which nothing runs.
    fn release(&mut self) {
        let mut key = 0;
        while key < KEYS {
            let goes =
                |key: usize| self.leaving[key] && self.running[key] == 0 && self.fence[key] > 0;
            if !goes(key) {
                key += 1;
                continue;
            }
            let from = key;
            while key < KEYS && goes(key) {
                key += 1;
            }
            for gone in from..key {
                self.fence[gone] = 0;
                self.leaving[gone] = false;
            }
            let token = format!("{:016x}", unix_ms() << 16 | from as u64);
            self.released.push((from, key - 1, token));
        }
    }

    fn rows(&self) -> Vec<(usize, usize, u64)> {
        let mut rows: Vec<(usize, usize, u64)> = Vec::new();
        for key in 0..KEYS {
            let fence = self.fence[key];
            match rows.last_mut() {
                _ if fence == 0 => {}
                Some(last) if last.1 + 1 == key && last.2 == fence => last.1 = key,
                _ => rows.push((key, key, fence)),
            }
        }
        rows
    }

    /// Takes what an answer grants, and marks the rest as leaving.
    fn take(&mut self, rows: &[Json], until: Instant) -> bool {
        let mut granted = vec![0; KEYS];
        for row in rows {
            let row = row.list();
            let (from, to, fence) = (
                row[0].number() as usize,
                row[1].number() as usize,
                row[2].number(),
            );
            if (from..=to).any(|key| self.highest[key] > fence) {
                continue;
            }
            granted[from..=to].fill(fence);
        }
        self.until = Some(until);
        for key in 0..KEYS {
            match granted[key] {
                0 => self.leaving[key] = self.fence[key] > 0,
                fence => {
                    self.fence[key] = fence;
                    self.highest[key] = fence;
                    self.leaving[key] = false;
                }
            }
        }
        self.leaving.iter().any(|leaving| *leaving)
    }
}
