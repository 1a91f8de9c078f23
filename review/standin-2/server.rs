//! A stand-in for an application server, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::json;
use crate::record::Record;

/// Time between two check-ins.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time that a node has to acknowledge a check-in.
const ACK_TIME: Duration = Duration::from_secs(1);

/// Prefix of the paths of requests on which a server works for long, and the time that it takes.
pub const LONG_PREFIX: &str = "/plan/";
const LONG_WORK: Duration = Duration::from_millis(1_800);

/// Time between two check-ins until all that was left out is released, and after one that failed.
const SHORT_PAUSE: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
pub struct ServerConfig {
    pub ip: Ipv4Addr,
    pub service: String,
    pub zone: String,
    pub is_sharded: bool,
    pub slots: usize,
    pub work: Duration,
    /// Length of an answer's body.
    pub answer_bytes: usize,
    /// Time after its start for which the server is cold.
    pub warmup: Duration,
    /// Requests in one second at which a cold server crashes.
    pub crash_rate: usize,
    /// Address for check-ins.
    pub control: SocketAddr,
}

/// One lifetime of a server.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    config: ServerConfig,
    born: u64,
    /// Time until which the server is cold.
    cold_until: Mutex<Instant>,
    /// Times of arrival, in seconds of the record, and ids of the requests that came while the server was cold.
    cold_arrivals: Mutex<Vec<(f64, String)>>,
    is_up: AtomicBool,
    running: AtomicUsize,
    state: Mutex<State>,
    streams: Mutex<Vec<TcpStream>>,
    /// Requests that ran: id, path, and service of the machine where they began.
    runs: Mutex<Vec<(String, String, String)>>,
    record: Arc<Record>,
}

#[derive(Default)]
struct State {
    /// Ranges held, by their first key: last key, fence.
    holds: BTreeMap<u32, (u32, u64)>,
    until: Option<Instant>,
    /// Highest fence seen, by first key of a range.
    fences: BTreeMap<u32, u64>,
    /// Ranges on which requests run: number of requests by key.
    working: BTreeMap<u32, usize>,
    released: Vec<(u32, u32)>,
    seq: u64,
    acknowledged: u64,
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since.as_millis() as u64
}

impl Server {
    /// Starts a lifetime at `address`, or at a free port.
    pub fn start(config: ServerConfig, id: String, port: u16, record: Arc<Record>) -> Arc<Self> {
        let listener = (0..100).find_map(|_| {
            let bound = TcpListener::bind((config.ip, port)).ok();
            if bound.is_none() {
                thread::sleep(Duration::from_millis(50));
            }
            bound
        });
        let listener = listener.expect("the server's port is free");
        listener.set_nonblocking(true).unwrap();
        let warmup = config.warmup;
        let server = Arc::new(Self {
            id,
            address: listener.local_addr().unwrap(),
            config,
            born: unix_ms(),
            cold_until: Mutex::new(Instant::now() + warmup),
            cold_arrivals: Mutex::default(),
            is_up: AtomicBool::new(true),
            running: AtomicUsize::new(0),
            state: Mutex::default(),
            streams: Mutex::default(),
            runs: Mutex::default(),
            record,
        });
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(listener));
        let beating = server.clone();
        thread::spawn(move || beating.beat());
        server
    }

    /// Ends the lifetime at once, and closes all connections.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    /// Makes the server cold again.
    pub fn turn_cold(&self) {
        *self.cold_until.lock().unwrap() = Instant::now() + self.config.warmup;
    }

    fn cold_left(&self) -> Duration {
        self.cold_until
            .lock()
            .unwrap()
            .saturating_duration_since(Instant::now())
    }

    /// Returns a check-in as it is sent now: its path and its body.
    pub fn current_check_in(&self) -> (String, String) {
        let path = format!("/rpc?call=instances.heartbeat&of={}", self.id);
        (path, self.check_in_body().0)
    }

    /// Returns the requests that came while the server was cold, as times of arrival and ids.
    pub fn cold_arrivals(&self) -> Vec<(f64, String)> {
        self.cold_arrivals.lock().unwrap().clone()
    }

    /// Returns the requests that ran: id, path, and service of the machine where they began.
    pub fn runs(&self) -> Vec<(String, String, String)> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the number of acknowledged check-ins.
    pub fn check_ins(&self) -> u64 {
        self.state.lock().unwrap().acknowledged
    }

    /// Returns the ranges that the server holds now.
    pub fn held_ranges(&self) -> Vec<(u32, u32)> {
        let state = self.state.lock().unwrap();
        let is_held = self.is_up() && state.until.is_some_and(|until| Instant::now() < until);
        let ranges = state.holds.iter().filter(|_| is_held);
        ranges.map(|(from, (to, _))| (*from, *to)).collect()
    }

    fn accept(self: &Arc<Self>, listener: TcpListener) {
        while self.is_up() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                self.streams.lock().unwrap().push(copy);
            }
            let server = self.clone();
            thread::spawn(move || server.serve(stream));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(copy);
        while let Some(message) = http::read_message(&mut reader, false) {
            if !self.is_up() {
                break;
            }
            let answer = self.answer(&message);
            if answer.is_empty() || !self.is_up() || stream.write_all(&answer).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }

    fn load(&self) -> (&'static str, String) {
        let running = self.running.load(Ordering::SeqCst);
        ("x-server-load", format!("{running},0,{}", self.config.slots))
    }

    fn answer(&self, message: &Message) -> Vec<u8> {
        if message.path() == "/health" {
            let warmup = ("x-warmup-ms", self.cold_left().as_millis().to_string());
            let headers = [("x-instance-id", self.id.clone()), self.load(), warmup];
            return http::response(200, &headers, b"ok");
        }
        let Some(id) = message.header("x-request-id").map(str::to_owned) else {
            return http::response(400, &[("x-not-executed", "1".to_owned())], b"");
        };
        let echo = ("x-request-id", id.clone());
        if message
            .header("x-target-instance")
            .is_some_and(|target| target != self.id)
        {
            let headers = [echo, ("x-instance-id", self.id.clone())];
            return http::response(421, &headers, b"");
        }
        let key = message.header("x-shard-key").and_then(|key| key.parse::<u32>().ok());
        if self.config.is_sharded && !key.is_some_and(|key| self.begin_on(key)) {
            let headers = [echo, ("x-not-executed", "1".to_owned()), self.load()];
            return http::response(421, &headers, b"");
        }
        if !self.cold_left().is_zero() {
            let now = self.record.now();
            let mut arrivals = self.cold_arrivals.lock().unwrap();
            arrivals.push((now, id.clone()));
            if arrivals.iter().filter(|(at, _)| now - at < 1.0).count() >= self.config.crash_rate {
                let running = self.running.load(Ordering::SeqCst);
                self.record.say(&format!(
                    "{} crashes under its load, while it runs {running} requests",
                    self.id
                ));
                self.crash();
                return Vec::new();
            }
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.config.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.end_on(key);
            let headers = [echo, ("x-not-executed", "1".to_owned()), self.load()];
            return http::response(503, &headers, b"");
        }
        let (method, path) = (message.method(), message.path());
        let caller = message.header("x-caller-service").unwrap_or("none");
        let service = &self.config.service;
        self.record.line(&format!(
            "run id={id} server={} of={service} caller={caller} {method} {path}",
            self.id
        ));
        self.runs
            .lock()
            .unwrap()
            .push((id.clone(), path.to_owned(), caller.to_owned()));
        thread::sleep(match path.starts_with(LONG_PREFIX) {
            true => LONG_WORK,
            false => self.config.work,
        });
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.end_on(key);
        let stamp = format!("{}.{id}", self.id);
        let mut body = format!("{stamp}\n").into_bytes();
        body.resize(self.config.answer_bytes.max(body.len()), b'.');
        http::response(200, &[echo, ("x-server-stamp", stamp), self.load()], &body)
    }

    fn begin_on(&self, key: u32) -> bool {
        let mut state = self.state.lock().unwrap();
        let is_held = state.until.is_some_and(|until| Instant::now() < until)
            && state
                .holds
                .range(..=key)
                .next_back()
                .is_some_and(|(_, (last, _))| key <= *last);
        if is_held {
            *state.working.entry(key).or_default() += 1;
        }
        is_held
    }

    fn end_on(&self, key: Option<u32>) {
        let mut state = self.state.lock().unwrap();
        if let Some(key) = key.filter(|_| self.config.is_sharded) {
            if let Some(count) = state.working.get_mut(&key) {
                *count -= 1;
                if *count == 0 {
                    state.working.remove(&key);
                }
            }
        }
    }

    fn beat(&self) {
        while self.is_up() {
            let sent = Instant::now();
            let must_repeat = match self.check_in(sent) {
                Ok(is_done) => !is_done,
                Err(_) => true,
            };
            let pause = if must_repeat { SHORT_PAUSE } else { HEARTBEAT };
            thread::sleep(pause.saturating_sub(sent.elapsed()));
        }
    }

    /// Sends a check-in. Returns whether all that the answer left out is released.
    fn check_in(&self, sent: Instant) -> Result<bool, String> {
        let (body, released) = self.check_in_body();
        let path = format!("/rpc?call=instances.heartbeat&of={}", self.id);
        let control = self.config.control;
        let head = format!("POST {path} HTTP/1.1\r\nhost: {control}\r\ncontent-type: application/json\r\n");
        let answer = http::call(control, &head, body.as_bytes(), ACK_TIME)?;
        if !(200..300).contains(&answer.status()) || answer.body.len() > 4_096 {
            return Err(answer.first);
        }
        let mut state = self.state.lock().unwrap();
        state.acknowledged += 1;
        state.released.retain(|range| !released.contains(range));
        let parsed = json::parse(&answer.body);
        let Some(holds) = parsed.as_ref().and_then(|parsed| parsed.get("holds")) else {
            return Ok(true);
        };
        let hold_time = parsed.as_ref().and_then(|parsed| parsed.get("hold_time"));
        let hold_time = duration(hold_time.map_or("", |time| time.text()));
        let mut next = BTreeMap::new();
        for row in holds.list() {
            let row = row.list();
            let (from, to, fence) = (row[0].number() as u32, row[1].number() as u32, row[2].number());
            if state.fences.get(&from).is_none_or(|seen| fence >= *seen) {
                state.fences.insert(from, fence);
                next.insert(from, (to, fence));
            }
        }
        let is_held = |from: &u32| next.range(..=*from).next_back().is_some_and(|(_, (to, _))| from <= to);
        let left: Vec<(u32, u32)> = state
            .holds
            .iter()
            .filter(|(from, _)| !is_held(from))
            .map(|(from, (to, _))| (*from, *to))
            .collect();
        let is_done = left.is_empty();
        state.released.extend(left);
        state.holds = next;
        state.until = Some(sent + hold_time);
        Ok(is_done)
    }

    fn check_in_body(&self) -> (String, Vec<(u32, u32)>) {
        let mut state = self.state.lock().unwrap();
        state.seq += 1;
        if state.until.is_some_and(|until| Instant::now() >= until) {
            state.holds.clear();
        }
        let mut held: Vec<String> = state
            .holds
            .iter()
            .map(|(from, (to, fence))| format!("[{from},{to},{fence}]"))
            .collect();
        for key in state.working.keys() {
            let fence = state.fences.range(..=*key).next_back().map_or(0, |(_, fence)| *fence);
            held.push(format!("[{key},{key},{fence}]"));
        }
        let is_working = |from: &u32, to: &u32| state.working.range(from..=to).next().is_some();
        let free = state.released.iter().filter(|(from, to)| !is_working(from, to));
        let sent: Vec<(u32, u32)> = free.copied().collect();
        let released: Vec<String> = sent
            .iter()
            .map(|(from, to)| format!("[{from},{to},\"{:016x}\"]", u64::from(*from) + self.born))
            .collect();
        let ServerConfig {
            service, zone, slots, ..
        } = &self.config;
        let text = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\
             \"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\"state\":\"ready\",\"seq\":{},\
             \"warmup_left\":\"{}ms\"}},\"holds\":[{}],\"released\":[{}]}}",
            self.address,
            self.born,
            state.seq,
            self.cold_left().as_millis(),
            held.join(","),
            released.join(",")
        );
        (text, sent)
    }
}

/// Parses a time such as `1500ms` or `2.5s`.
fn duration(text: &str) -> Duration {
    let number = |text: &str| text.parse::<f64>().unwrap_or(0.0);
    match text.strip_suffix("ms") {
        Some(text) => Duration::from_secs_f64(number(text) / 1_000.0),
        None => Duration::from_secs_f64(number(text.trim_end_matches('s'))),
    }
}
