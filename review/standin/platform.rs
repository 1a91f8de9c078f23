//! Stand-ins of the platform's store, of servers and of callers, which start the router's processes with the command of
//! the deploy file. Only the standard library is used, so that `rustc` alone builds it.
//!
//! Usage: `platform CASE FOLDER`. Writes `FOLDER/record.txt`. Exits with 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run. `TROUBLE=0` leaves the disruption out.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// History of the store: "20 s of history" (SYSTEM, the platform's store).
const KEEP: Duration = Duration::from_secs(20);

/// Longest record (DEPLOY, settings: `record_bytes`).
const RECORD_BYTES: usize = 262_144;

/// Longest append (DEPLOY, settings: `call_bytes`).
const CALL_BYTES: usize = 2_097_152;

/// Time of one append (DEPLOY, settings: `append`) and of an answer (SYSTEM: 4 ms).
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Interval of check-ins (DEPLOY, settings: `heartbeat`).
const HEARTBEAT: Duration = Duration::from_millis(870);

/// Time from the start of the machines to that of traffic (SYSTEM: 8 s).
const LEAD: Duration = Duration::from_secs(8);

/// `recovery` of the site.
const RECOVERY: Duration = Duration::from_secs(15);

/// `config_apply` of the site.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// `contact` of the site.
const CONTACT: Duration = Duration::from_secs(3);

/// Time for which the store is silent in `lost-reads`.
const SILENCE: Duration = Duration::from_millis(500);

/// Number of times that all processes are killed in `repeated-kills`, how long they are down each time, and how long they run
/// in between.
const KILLS: usize = 4;
const DOWN: Duration = Duration::from_millis(1_500);
const UP: Duration = Duration::from_millis(5_500);

/// Time for which the crashed server is down in `innocent-request`.
const CRASH: Duration = Duration::from_secs(3);

/// Time limit of each request of a caller.
const DEADLINE: Duration = Duration::from_millis(1_000);

const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
/// Machines at the start.
const MACHINES: usize = 6;

/// Machines that are lost for good at once, and machines that are added in their place.
const SPARES: usize = 4;
const SERVICE: &str = "workshop";
const HOST: &str = "app.example";

// ---------------------------------------------------------------------------------------------- record

/// Writes what happened, with the time since the start.
struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

// ---------------------------------------------------------------------------------------------- HTTP

struct Request {
    method: String,
    target: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl Request {
    fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode_percent(value))
    }

    fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads a message: its first line, headers and body with a length.
fn read_message(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), headers, body))
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers, body) = read_message(reader)?;
    let mut words = first.split(' ');
    Some(Request {
        method: words.next()?.to_owned(),
        target: words.next()?.to_owned(),
        headers,
        body,
    })
}

fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> bool {
    let mut bytes = format!("HTTP/1.1 {status} S\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Accepts connections and serves each on a thread of its own, for as long as `handle` wants.
fn serve(
    listener: TcpListener,
    handle: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !handle(&request, &mut writer) {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

/// Sends one request on a connection of its own. Returns the status, headers and body, or `None` without an answer.
fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    limit: Duration,
) -> Option<(u16, HashMap<String, String>, Vec<u8>)> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let left = limit.checked_sub(started.elapsed())?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(left)).ok()?;
    stream.set_write_timeout(Some(left)).ok()?;
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let (first, headers, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, headers, body))
}

// ---------------------------------------------------------------------------------------------- store

#[derive(Default)]
struct Topic {
    /// Offset of the first record that is kept.
    first: u64,
    records: std::collections::VecDeque<(Instant, Vec<u8>)>,
    /// Epoch, next sequence number and the last five appends of each producer.
    producers: HashMap<String, (u64, u64, Vec<(u64, u64, u64)>)>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self) {
        while self
            .records
            .front()
            .is_some_and(|(at, _)| at.elapsed() > KEEP)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

/// The platform's store, a log of topics.
struct Store {
    address: SocketAddr,
    changed: Condvar,
    /// Number of outages that have begun. Calls that were under way when one began are never answered.
    outages: AtomicU64,
    record: Arc<Record>,
    /// Whether the store answers no call.
    silent: AtomicBool,
    topics: Mutex<HashMap<String, Topic>>,
}

impl Store {
    fn start(listener: TcpListener, record: Arc<Record>) -> Arc<Self> {
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            changed: Condvar::new(),
            outages: AtomicU64::new(0),
            record,
            silent: AtomicBool::new(false),
            topics: Mutex::default(),
        });
        let serving = Arc::clone(&store);
        serve(listener, move |request, stream| {
            serving.handle(request, stream)
        });
        store
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let outages = self.outages.load(Ordering::SeqCst);
        if self.silent.load(Ordering::SeqCst) {
            self.record
                .line(&format!("store does not answer {}", request.target));
            return wait_for_close(stream);
        }
        thread::sleep(ANSWER_TIME);
        let (status, body) = match (request.method.as_str(), request.path()) {
            ("POST", "/log-append") => self.append(request),
            ("GET", "/log-read") => self.read(request),
            ("GET", "/log-newest") => self.newest(request),
            _ => (404, Vec::new()),
        };
        if self.outages.load(Ordering::SeqCst) != outages {
            self.record
                .line(&format!("the answer to {} is lost", request.target));
            return wait_for_close(stream);
        }
        if status >= 400 && status != 410 {
            self.record
                .line(&format!("store refused {} with {status}", request.target));
        }
        write_response(
            stream,
            status,
            &[("Content-Type", "application/json")],
            &body,
        )
    }

    fn append(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while !rest.is_empty() {
            let Some((length, after)) = rest.split_first_chunk::<4>() else {
                return (400, Vec::new());
            };
            let length = u32::from_be_bytes(*length) as usize;
            if length > RECORD_BYTES || length > after.len() {
                return (
                    400,
                    b"{\"error\":\"records can't be read, or are too long\"}".to_vec(),
                );
            }
            records.push(after[..length].to_vec());
            rest = &after[length..];
        }
        if request.body.len() > CALL_BYTES {
            return (413, Vec::new());
        }
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic).or_default();
        topic.expire();
        let (offset, end) = (topic.end(), topic.end() + records.len() as u64);
        if let (Some(producer), Some(epoch), Some(seq)) =
            (request.query("producer"), number("epoch"), number("seq"))
        {
            let state = topic
                .producers
                .entry(producer)
                .or_insert((0, 0, Vec::new()));
            if epoch < state.0 {
                return (409, b"{\"why\":\"fenced\"}".to_vec());
            }
            if epoch > state.0 {
                *state = (epoch, seq, Vec::new());
            }
            if let Some((_, offset, end)) = state.2.iter().find(|(known, _, _)| *known == seq) {
                return (
                    200,
                    format!("{{\"offset\":{offset},\"end_offset\":{end}}}").into_bytes(),
                );
            }
            if seq != state.1 {
                return (
                    409,
                    format!("{{\"why\":\"seq\",\"seq\":{}}}", state.1).into_bytes(),
                );
            }
            state.1 += 1;
            state.2.push((seq, offset, end));
            if state.2.len() > 5 {
                state.2.remove(0);
            }
        }
        for record in records {
            topic.records.push_back((Instant::now(), record));
        }
        self.changed.notify_all();
        (
            200,
            format!("{{\"offset\":{offset},\"end_offset\":{end}}}").into_bytes(),
        )
    }

    fn read(&self, request: &Request) -> (u16, Vec<u8>) {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let (name, from) = (
            request.query("topic").unwrap_or_default(),
            number("from").unwrap_or(0),
        );
        let max = number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until =
            Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.entry(name.clone()).or_default();
            topic.expire();
            if from < topic.first {
                return (
                    410,
                    format!("{{\"first_offset\":{}}}", topic.first).into_bytes(),
                );
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < topic.end() || left.is_zero() {
                let mut bytes = topic.end().to_be_bytes().to_vec();
                bytes.extend_from_slice(&topic.first.to_be_bytes());
                for (_, record) in topic.records.iter().skip((from - topic.first) as usize) {
                    if bytes.len() > 16 && bytes.len() + record.len() > max {
                        break;
                    }
                    bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    bytes.extend_from_slice(record);
                }
                return (200, bytes);
            }
            topics = self
                .changed
                .wait_timeout(topics, left.min(Duration::from_millis(200)))
                .unwrap()
                .0;
        }
    }

    fn newest(&self, request: &Request) -> (u16, Vec<u8>) {
        let name = request.query("topic").unwrap_or_default();
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name).or_default();
        topic.expire();
        let items = topic.newest.iter().map(|(key, (offset, value))| {
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            )
        });
        let items: Vec<String> = items.collect();
        let body = format!(
            "{{\"items\":[{}],\"more\":false,\"end_offset\":{}}}",
            items.join(","),
            topic.end()
        );
        (200, body.into_bytes())
    }

    /// Answers nothing for a time. Calls that are under way are not answered later either.
    fn be_silent(&self, time: Duration) {
        self.silent.store(true, Ordering::SeqCst);
        self.outages.fetch_add(1, Ordering::SeqCst);
        self.record.line("the store is silent");
        thread::sleep(time);
        self.silent.store(false, Ordering::SeqCst);
        self.record.line("the store answers again");
    }

    /// Returns the age of the newest snapshot in a topic.
    fn snapshot_age(&self, name: &str) -> Option<Duration> {
        let topics = self.topics.lock().unwrap();
        let is_snapshot = |bytes: &[u8]| {
            String::from_utf8_lossy(&bytes[..bytes.len().min(200)]).contains("snapshot_chunk")
        };
        let snapshots = topics
            .get(name)?
            .records
            .iter()
            .filter(|(_, bytes)| is_snapshot(bytes));
        snapshots.map(|(at, _)| at.elapsed()).min()
    }

    /// Writes a record as operators do. Returns its size.
    fn put(&self, key: &str, value: &[u8]) -> usize {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let size = record.len();
        assert!(size <= RECORD_BYTES, "operators can't write {size} bytes");
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry("keyed.op".to_owned()).or_default();
        topic
            .newest
            .insert(key.to_owned(), (topic.end(), value.to_vec()));
        topic.records.push_back((Instant::now(), record));
        self.changed.notify_all();
        size
    }

    /// Describes what a topic holds.
    fn describe(&self, name: &str) -> String {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        topic.expire();
        let range = format!("topic {name}: offsets {} to {}", topic.first, topic.end());
        drop(topics);
        let newest = self.snapshot_age(name);
        let newest = newest.map_or("no snapshot".to_owned(), |age| {
            format!("newest snapshot {:.1} s old", age.as_secs_f64())
        });
        format!("{range}, {newest}")
    }
}

/// Waits until the other side closes its connection.
fn wait_for_close(stream: &mut TcpStream) -> bool {
    let _ = stream.read(&mut [0; 1]);
    false
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0_u32, |group, byte| group << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------- machines

/// A machine: its server, which is a stand-in here, and the router's process beside it.
struct Machine {
    app: SocketAddr,
    child: Mutex<Option<Child>>,
    control: SocketAddr,
    folder: PathBuf,
    /// What the server beside the process holds.
    holds: Mutex<Holds>,
    id: String,
    /// Whether the machine has power.
    is_on: AtomicBool,
    /// Number of times that the server has crashed.
    crashes: AtomicU64,
    /// Whether the server runs.
    is_up: AtomicBool,
    /// Paths of the requests that the server runs.
    running: Mutex<Vec<String>>,
    name: String,
    outbound: SocketAddr,
    ready: SocketAddr,
    zone: &'static str,
}

/// The key ranges of a server.
#[derive(Default)]
struct Holds {
    /// Highest fence seen on each range of 256 keys.
    fences: HashMap<u32, u64>,
    released: Vec<(u32, u32, String)>,
    rows: Vec<(u32, u32, u64)>,
    until: Option<Instant>,
}

impl Holds {
    /// Drops what has expired. An expired range is not reported as released.
    fn expire(&mut self) {
        if self.until.is_some_and(|until| Instant::now() >= until) {
            self.rows.clear();
        }
    }

    fn holds(&mut self, key: u32) -> bool {
        self.expire();
        self.rows
            .iter()
            .any(|(first, last, _)| (*first..=*last).contains(&key))
    }

    /// Takes the rows of an answer to a check-in that was sent at `sent`. Returns whether something was released.
    fn take(&mut self, rows: Vec<(u32, u32, u64)>, sent: Instant, time: Duration) -> bool {
        self.expire();
        let accepted: Vec<(u32, u32, u64)> = rows
            .into_iter()
            .filter(|(first, last, fence)| {
                let mut ranges = first / 256..=last / 256;
                ranges.all(|range| self.fences.get(&range).is_none_or(|seen| seen <= fence))
            })
            .collect();
        for (first, last, fence) in &accepted {
            for range in first / 256..=last / 256 {
                self.fences.insert(range, *fence);
            }
        }
        let is_kept =
            |first: u32, last: u32| accepted.iter().any(|row| row.0 <= first && last <= row.1);
        let former = std::mem::take(&mut self.rows);
        let mut has_released = false;
        for (first, last, fence) in former {
            for range in first / 256..=last / 256 {
                let (first, last) = (range * 256, range * 256 + 255);
                if !is_kept(first, last) {
                    self.released.push((
                        first,
                        last,
                        format!("{:016x}", fence << 16 | u64::from(range)),
                    ));
                    has_released = true;
                }
            }
        }
        self.rows = accepted;
        self.until = Some(sent + time);
        has_released
    }
}

/// Returns the rows and the hold time of an answer to a check-in, or `None` if it renews nothing.
fn parse_grants(body: &[u8]) -> Option<(Vec<(u32, u32, u64)>, Duration)> {
    let text = String::from_utf8_lossy(body);
    let time = text
        .split("\"hold_time\":\"")
        .nth(1)?
        .split("ms")
        .next()?
        .parse()
        .ok()?;
    let rows = text.split("\"holds\":[").nth(1)?;
    let rows = rows.split('[').skip(1).filter_map(|row| {
        let mut fields = row.split(',');
        Some((
            fields.next()?.trim().parse().ok()?,
            fields.next()?.trim().parse().ok()?,
            fields.next()?.trim().parse().ok()?,
        ))
    });
    Some((rows.collect(), Duration::from_millis(time)))
}

struct Installation {
    command: Vec<String>,
    /// Listeners of the servers of spare machines.
    spare_listeners: Mutex<Vec<TcpListener>>,
    spares: Vec<Arc<Machine>>,
    machines: Vec<Arc<Machine>>,
    record: Arc<Record>,
    root: PathBuf,
    stopped: Arc<AtomicBool>,
    store: Arc<Store>,
}

impl Installation {
    fn start(root: &Path, folder: &Path, record: Arc<Record>) -> Option<Self> {
        let deploy = fs::read_to_string(root.join("deploy/system.toml")).ok()?;
        let value = |name: &str| {
            let line = deploy
                .lines()
                .find(|line| line.trim_start().starts_with(&format!("{name} = ")))?;
            Some(line.split('"').nth(1)?.to_owned())
        };
        let command: Vec<String> = value("run")?.split(' ').map(str::to_owned).collect();
        if !root.join(&command[0]).exists() {
            eprintln!(
                "{} is missing: run the build of the deploy file",
                command[0]
            );
            return None;
        }
        let template = fs::read_to_string(root.join(value("template")?)).ok()?;
        let (net, base, listeners) = free_ports()?;
        let mut listeners = listeners.into_iter();
        let store = Store::start(listeners.next()?, Arc::clone(&record));
        let stopped = Arc::new(AtomicBool::new(false));
        let mut machines = Vec::new();
        let mut spare_listeners = Vec::new();
        for (index, listener) in listeners.enumerate() {
            let ip = format!("{net}.{}", 11 + index);
            let address = |offset: u16| format!("{ip}:{}", base + offset).parse().unwrap();
            let machine = Machine {
                app: address(0),
                child: Mutex::default(),
                control: address(3),
                folder: folder.join(format!("m{index}")),
                holds: Mutex::default(),
                id: format!("i-{index:02}{:06x}", std::process::id()),
                is_on: AtomicBool::new(index < MACHINES),
                crashes: AtomicU64::new(0),
                is_up: AtomicBool::new(true),
                running: Mutex::default(),
                name: format!("sidecar-{}-{index}", ZONES[index % 3]),
                outbound: address(1),
                ready: address(2),
                zone: ZONES[index % 3],
            };
            fs::create_dir_all(&machine.folder).ok()?;
            let fields = [
                ("listen.control", machine.control.to_string()),
                ("listen.outbound", machine.outbound.to_string()),
                ("listen.ready", machine.ready.to_string()),
                ("ip", ip.clone()),
                ("port_range.0", (base + 4).to_string()),
                ("port_range.1", (base + 5).to_string()),
                ("bounds.evacuate", "5000ms".to_owned()),
                ("bounds.grace", "6s".to_owned()),
                ("provider.address", store.address.to_string()),
                ("service", SERVICE.to_owned()),
                ("node_name", machine.name.clone()),
                ("region", "r".to_owned()),
                ("zone", machine.zone.to_owned()),
            ];
            let settings = render(&template, &fields);
            if settings.contains("{{") {
                eprintln!(
                    "the template has placeholders that this stand-in does not know:\n{settings}"
                );
                return None;
            }
            fs::write(machine.folder.join("settings.json"), settings).ok()?;
            let machine = Arc::new(machine);
            if index < MACHINES {
                start_server(listener, &machine, &record);
                start_check_ins(&machine, &stopped, &record);
            } else {
                spare_listeners.push(listener);
            }
            machines.push(machine);
        }
        let spares = machines.split_off(MACHINES);
        let spare_listeners = Mutex::new(spare_listeners);
        Some(Self {
            command,
            machines,
            record,
            root: root.to_owned(),
            spare_listeners,
            spares,
            stopped,
            store,
        })
    }

    fn start_process(&self, machine: &Machine) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(machine.folder.join("log.txt"))
            .unwrap();
        let child = Command::new(self.root.join(&self.command[0]))
            .args(&self.command[1..])
            .current_dir(&self.root)
            .env_clear()
            .env("SKYLARKRUDDER_CONFIG", machine.folder.join("settings.json"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the process can be started");
        self.record
            .line(&format!("start {} pid {}", machine.name, child.id()));
        *machine.child.lock().unwrap() = Some(child);
    }

    fn start_all(&self) {
        for machine in &self.machines {
            self.start_process(machine);
        }
    }

    /// Starts the spare machines with their servers.
    fn add_spares(&self) {
        let listeners = std::mem::take(&mut *self.spare_listeners.lock().unwrap());
        for (machine, listener) in self.spares.iter().zip(listeners) {
            machine.is_on.store(true, Ordering::SeqCst);
            start_server(listener, machine, &self.record);
            start_check_ins(machine, &self.stopped, &self.record);
            self.start_process(machine);
        }
    }

    /// Removes a machine with its server for good, without notice.
    fn remove(&self, machine: &Machine) {
        machine.is_on.store(false, Ordering::SeqCst);
        if let Some(mut child) = machine.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record.line(&format!(
            "{} is lost for good, with its server",
            machine.name
        ));
    }

    fn kill_all(&self) {
        for machine in self.machines.iter().chain(&self.spares) {
            if let Some(mut child) = machine.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
                self.record.line(&format!("SIGKILL {}", machine.name));
            }
        }
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.kill_all();
    }
}

/// Replaces the placeholders of the template by the fields, and keeps the sections of fields that are present.
fn render(template: &str, fields: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    for (name, value) in fields {
        text = text
            .replace(&format!("{{{{#{name}}}}}\n"), "")
            .replace(&format!("{{{{/{name}}}}}\n"), "");
        text = text.replace(&format!("{{{{{name}|json}}}}"), &format!("\"{value}\""));
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// Finds a loopback network and ports that are free on the addresses of all machines. Returns the listeners of the store and
/// of the servers.
fn free_ports() -> Option<(String, u16, Vec<TcpListener>)> {
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()?
        .subsec_nanos();
    let seed = u64::from(nanos) ^ u64::from(std::process::id()) << 20;
    for attempt in 0..200_u64 {
        let random = (seed + attempt).wrapping_mul(6_364_136_223_846_793_005) >> 33;
        let net = format!("127.{}.{}", 1 + random % 250, random / 250 % 250);
        let base = 21_000 + (random / 62_500 % 900) as u16 * 10;
        let store = TcpListener::bind(format!("{net}.7:{base}"));
        let mut listeners = vec![store];
        let mut is_free = true;
        for index in 0..MACHINES + SPARES {
            let ip = format!("{net}.{}", 11 + index);
            listeners.push(TcpListener::bind(format!("{ip}:{base}")));
            is_free &=
                (1..6).all(|offset| TcpListener::bind(format!("{ip}:{}", base + offset)).is_ok());
        }
        let listeners: Vec<TcpListener> = listeners.into_iter().flatten().collect();
        if is_free && listeners.len() == MACHINES + SPARES + 1 {
            return Some((net, base, listeners));
        }
    }
    None
}

/// Time that a server works on a request, in milliseconds.
static WORK_MS: AtomicU64 = AtomicU64::new(20);

/// A server, which runs each request for `WORK_MS`, and requests with a key only while it holds the key.
fn start_server(listener: TcpListener, machine: &Arc<Machine>, record: &Arc<Record>) {
    let (machine, record) = (Arc::clone(machine), Arc::clone(record));
    let count = AtomicU64::new(0);
    serve(listener, move |request, stream| {
        let id = request.header("x-request-id");
        if !machine.is_on.load(Ordering::SeqCst) || !machine.is_up.load(Ordering::SeqCst) {
            return false;
        }
        let crashes = machine.crashes.load(Ordering::SeqCst);
        if request.path() == "/health" {
            let headers = [
                ("X-Instance-Id", machine.id.as_str()),
                ("X-Server-Load", "0,0,9"),
            ];
            return write_response(stream, 200, &headers, b"");
        }
        let instance = request.header("x-target-instance");
        if !instance.is_empty() && instance != machine.id {
            return write_response(
                stream,
                421,
                &[("X-Not-Executed", "1"), ("X-Request-Id", id)],
                b"",
            );
        }
        if id.is_empty() {
            return write_response(stream, 400, &[("X-Not-Executed", "1")], b"");
        }
        let key = request.header("x-shard-key").parse().ok();
        if key.is_some_and(|key| !machine.holds.lock().unwrap().holds(key)) {
            return write_response(
                stream,
                421,
                &[("X-Not-Executed", "1"), ("X-Request-Id", id)],
                b"",
            );
        }
        record.line(&format!(
            "run {id} {} tenant `{}` at {}",
            request.target,
            request.header("x-tenant-id"),
            machine.name
        ));
        machine
            .running
            .lock()
            .unwrap()
            .push(request.path().to_owned());
        thread::sleep(Duration::from_millis(WORK_MS.load(Ordering::SeqCst)));
        if machine.crashes.load(Ordering::SeqCst) != crashes {
            return false;
        }
        let mut running = machine.running.lock().unwrap();
        if let Some(index) = running.iter().position(|path| path == request.path()) {
            running.remove(index);
        }
        drop(running);
        let stamp = format!("{}.{}", machine.id, count.fetch_add(1, Ordering::SeqCst));
        let headers = [
            ("X-Request-Id", id),
            ("X-Server-Stamp", stamp.as_str()),
            ("X-Server-Load", "1,0,9"),
        ];
        write_response(stream, 200, &headers, b"the server's bytes")
    });
}

/// Sends a check-in of the server about each heartbeat.
fn start_check_ins(machine: &Arc<Machine>, stopped: &Arc<AtomicBool>, record: &Arc<Record>) {
    let (machine, stopped, record) = (Arc::clone(machine), Arc::clone(stopped), Arc::clone(record));
    thread::spawn(move || {
        let now = || {
            SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis()
        };
        let (mut born, mut crashes, mut sequence) = (now(), 0, 0);
        let mut last = None;
        while !stopped.load(Ordering::SeqCst) && machine.is_on.load(Ordering::SeqCst) {
            if !machine.is_up.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(50));
                continue;
            }
            if machine.crashes.load(Ordering::SeqCst) != crashes {
                (born, crashes, sequence) = (now(), machine.crashes.load(Ordering::SeqCst), 0);
                *machine.holds.lock().unwrap() = Holds::default();
            }
            sequence += 1;
            let (id, zone, app) = (&machine.id, machine.zone, machine.app);
            let sent = Instant::now();
            let (rows, released) = {
                let mut holds = machine.holds.lock().unwrap();
                holds.expire();
                let rows = holds
                    .rows
                    .iter()
                    .map(|(first, last, fence)| format!("[{first},{last},{fence}]"));
                let released = holds
                    .released
                    .iter()
                    .map(|(first, last, token)| format!("[{first},{last},\"{token}\"]"));
                (
                    rows.collect::<Vec<_>>().join(","),
                    released.collect::<Vec<_>>().join(","),
                )
            };
            let body = format!(
                "{{\"address\":\"{app}\",\"born\":{born},\"holds\":[{rows}],\"released\":[{released}],\"info\":{{\"service\":\"{SERVICE}\",\
                 \"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":9}},\"status\":{{\"state\":\"ready\",\"seq\":{sequence},\
                 \"warmup_left\":\"0ms\"}}}}"
            );
            let head = format!(
                "POST /rpc?call=instances.heartbeat&of={id} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
                 Connection: close\r\n",
                machine.control
            );
            let answer = call(
                machine.control,
                &head,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            let status = answer.as_ref().map(|answer| answer.0);
            let mut has_released = false;
            if let Some((200, _, body)) = answer {
                let mut holds = machine.holds.lock().unwrap();
                holds.released.clear();
                if let Some((rows, time)) = parse_grants(&body) {
                    has_released = holds.take(rows, sent, time);
                }
            }
            if status != last {
                record.line(&format!("check-in of {id} at {}: {status:?}", machine.name));
                last = status;
            }
            thread::sleep(if has_released {
                Duration::from_millis(80)
            } else {
                HEARTBEAT
            });
        }
    });
}

// ---------------------------------------------------------------------------------------------- callers

/// A request as a caller saw it.
#[derive(Clone, Debug)]
struct Sent {
    at: Duration,
    path: String,
    status: Option<u16>,
    stamped: bool,
}

#[derive(Clone)]
struct Callers {
    record: Arc<Record>,
    sent: Arc<Mutex<Vec<Sent>>>,
    next: Arc<AtomicU64>,
}

impl Callers {
    /// Sends a request to a machine, and returns what came back.
    fn send(&self, machine: &Machine, path: &str, key: Option<&str>) -> Sent {
        self.send_with(machine, path, key, "")
    }

    /// Sends a request with further headers.
    fn send_with(&self, machine: &Machine, path: &str, key: Option<&str>, more: &str) -> Sent {
        let id = format!(
            "{:08x}{:08x}",
            std::process::id(),
            self.next.fetch_add(1, Ordering::SeqCst)
        );
        let authorization = key.map_or(String::new(), |key| {
            format!("Authorization: Bearer {key}\r\n")
        });
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n{authorization}{more}\
             Connection: close\r\n",
            DEADLINE.as_millis()
        );
        let at = self.record.now();
        let answer = call(machine.outbound, &head, b"", DEADLINE);
        let status = answer.as_ref().map(|(status, _, _)| *status);
        let stamped = answer
            .as_ref()
            .is_some_and(|(_, headers, _)| headers.contains_key("x-server-stamp"));
        let reason = answer
            .and_then(|(_, headers, _)| headers.get("skylark-reason").cloned())
            .unwrap_or_default();
        self.record.line(&format!(
            "request {id} {path} sent at {:.3} to {}: {status:?} {reason}",
            at.as_secs_f64(),
            machine.name
        ));
        let sent = Sent {
            at,
            path: path.to_owned(),
            status,
            stamped,
        };
        self.sent.lock().unwrap().push(sent.clone());
        sent
    }

    /// Sends five requests a second to each machine until the installation is stopped.
    fn start(&self, installation: &Installation, path: &'static str, key: Option<&'static str>) {
        for machine in &installation.machines {
            let (callers, machine) = (self.clone(), Arc::clone(machine));
            let stopped = Arc::clone(&installation.stopped);
            thread::spawn(move || {
                while !stopped.load(Ordering::SeqCst) {
                    let started = Instant::now();
                    callers.send(&machine, path, key);
                    thread::sleep(Duration::from_millis(200).saturating_sub(started.elapsed()));
                }
            });
        }
    }

    /// Returns how many requests were sent in a time, and how many of them were served.
    fn share(&self, from: Duration, until: Duration) -> (usize, usize) {
        let sent = self.sent.lock().unwrap();
        let in_time: Vec<&Sent> = sent
            .iter()
            .filter(|sent| sent.at >= from && sent.at < until)
            .collect();
        let served = in_time
            .iter()
            .filter(|sent| sent.status == Some(200) && sent.stamped)
            .count();
        (in_time.len(), served)
    }
}

/// Asks each node whether it is ready, as the platform does each second.
fn ready_count(installation: &Installation) -> usize {
    let ready = |machine: &&Arc<Machine>| {
        let head = format!(
            "GET /ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n",
            machine.ready
        );
        call(machine.ready, &head, b"", Duration::from_millis(500))
            .is_some_and(|answer| answer.0 == 200)
    };
    installation.machines.iter().filter(ready).count()
}

/// Returns a manifest with the first route, `more` further ones, and the tenant's keys.
fn manifest(version: u64, routes: &[String], keys: Option<&[&str]>) -> Vec<u8> {
    manifest_of(version, routes, keys, false)
}

fn manifest_of(version: u64, routes: &[String], keys: Option<&[&str]>, sharded: bool) -> Vec<u8> {
    let sharded = if sharded {
        "true,\"3s\",\"heartbeat\""
    } else {
        "null,null,null"
    };
    let is_public = keys.is_none();
    let rows = routes.iter().enumerate().map(|(index, prefix)| {
        format!("[\"r-{index}\",\"{HOST}\",\"{prefix}\",\"safe\",\"1000ms\",\"400ms\",2,\"{SERVICE}\",2,{is_public},null]")
    });
    let rows: Vec<String> = rows.collect();
    let tenants = keys.map_or(String::new(), |keys| {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        format!(
            ",\"tenants\":{{\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\",\"burst\"],\
             \"rows\":[[\"shops\",[{}],1,0,0]]}}",
            keys.join(",")
        )
    });
    let text = format!(
        "{{\"version\":{version},\"routes\":{{\"columns\":[\"name\",\"host\",\"path_prefix\",\"route_kind\",\"timeout\",\
         \"target_latency\",\"priority\",\"service\",\"retry_attempts\",\"public\",\"traffic_split\"],\"rows\":[{}]}},\
         \"services\":{{\"columns\":[\"name\",\"health_path\",\"max_connections\",\"protocol\",\"tls\",\"warmup\",\
         \"warmup_per_s\",\"sharded\",\"warm\",\"grants\"],\"rows\":[[\"{SERVICE}\",\"/health\",130,\"h1\",false,\"3s\",29.0,\
         {sharded}]]}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\
         \"idle_timeout\":\"15000ms\"}}{tenants}}}",
        rows.join(",")
    );
    text.into_bytes()
}

fn sleep_until(record: &Record, at: Duration) {
    thread::sleep(at.saturating_sub(record.now()));
}

// ---------------------------------------------------------------------------------------------- cases

/// All processes are killed several times, each time for a short while.
fn repeated_kills(installation: &Installation, callers: &Callers, is_troubled: bool) -> i32 {
    let record = &installation.record;
    installation
        .store
        .put("config", &manifest(3, &["/blend/".to_owned()], None));
    installation.start_all();
    sleep_until(record, LEAD);
    callers.start(installation, "/blend/x", None);
    let first_kill = LEAD + Duration::from_secs(6);
    sleep_until(record, first_kill);
    for kill in 0..KILLS {
        if kill > 0 {
            thread::sleep(UP);
        }
        record.line(&installation.store.describe("fleet"));
        if is_troubled {
            installation.kill_all();
        }
        thread::sleep(DOWN);
        if is_troubled {
            installation.start_all();
        }
    }
    let back = record.now();
    let judged = back + RECOVERY;
    let end = judged + Duration::from_secs(10);
    while record.now() < end {
        record.line(&format!(
            "{} of {MACHINES} processes are ready; {}",
            ready_count(installation),
            installation.store.describe("fleet")
        ));
        thread::sleep(Duration::from_secs(1));
    }
    let (before, served_before) = callers.share(LEAD, first_kill);
    let (after, served_after) = callers.share(judged, end - DEADLINE);
    record.line(&format!(
        "served before the first kill: {served_before} of {before}; served later than {RECOVERY:?} after the last start: \
         {served_after} of {after}"
    ));
    if before == 0 || served_before * 4 < before || after == 0 {
        return 2;
    }
    i32::from(served_after * 4 < after)
}

/// The manifest grows by many routes, several times. Then it shrinks again, and a route and a key are dropped.
fn growing_manifest(installation: &Installation, callers: &Callers, is_troubled: bool) -> i32 {
    let record = &installation.record;
    let mut routes = vec!["/blend/".to_owned(), "/dropped/".to_owned()];
    let put = |version, routes: &[String], keys: &[&str]| {
        let size = installation
            .store
            .put("config", &manifest(version, routes, Some(keys)));
        record.line(&format!(
            "operator writes version {version} with {} routes, keys {keys:?}: {size} bytes",
            routes.len()
        ));
    };
    put(3, &routes, &["key-a", "key-b"]);
    installation.start_all();
    sleep_until(record, LEAD);
    callers.start(installation, "/blend/x", Some("key-a"));
    let first = &installation.machines[0];
    let before: Vec<Sent> = [
        ("/blend/x", "key-a"),
        ("/dropped/x", "key-a"),
        ("/blend/x", "key-b"),
    ]
    .iter()
    .map(|(path, key)| callers.send(first, path, Some(key)))
    .collect();
    thread::sleep(Duration::from_secs(4));
    let mut version = 3;
    for step in 0..5 {
        if is_troubled {
            routes.extend((0..350).map(|index| format!("/more-{step}-{index}/")));
        }
        version += 4;
        put(version, &routes, &["key-a", "key-b"]);
        thread::sleep(Duration::from_secs(4));
    }
    // The operator takes the routes back, and drops a route and a key besides.
    version += 4;
    put(version, &["/blend/".to_owned()], &["key-a"]);
    let acknowledged = record.now();
    thread::sleep(Duration::from_secs(12));
    let mut broken = 0;
    for machine in &installation.machines {
        for (path, key) in [("/dropped/x", "key-a"), ("/blend/x", "key-b")] {
            let sent = callers.send(machine, path, Some(key));
            let late = sent.at - acknowledged;
            if sent.status == Some(200) && sent.stamped && late > CONFIG_APPLY {
                record.line(&format!("CONFIG: {path} with {key} ran {late:?} after version {version}, which has no such route or key"));
                broken += 1;
            }
        }
    }
    let served = callers.send(first, "/blend/x", Some("key-a"));
    record.line(&format!(
        "{broken} requests were run as only an older version allows; {}",
        served.path
    ));
    if before.iter().any(|sent| sent.status != Some(200)) || served.status != Some(200) {
        return 2;
    }
    i32::from(broken > 0)
}

/// The store answers nothing for a moment. Later, when all machines are in touch again, a manifest takes a key away.
fn lost_reads(installation: &Installation, callers: &Callers, is_troubled: bool) -> i32 {
    let record = &installation.record;
    let routes = ["/blend/".to_owned()];
    installation
        .store
        .put("config", &manifest(3, &routes, Some(&["key-a", "key-b"])));
    installation.start_all();
    sleep_until(record, LEAD);
    callers.start(installation, "/blend/x", Some("key-a"));
    sleep_until(record, LEAD + Duration::from_secs(8));
    let before: Vec<Sent> = installation
        .machines
        .iter()
        .map(|machine| callers.send(machine, "/blend/x", Some("key-b")))
        .collect();
    // The log gets no record before the next snapshot is due.
    while installation
        .store
        .snapshot_age("fleet")
        .is_none_or(|age| age > Duration::from_millis(300))
    {
        thread::sleep(Duration::from_millis(20));
    }
    if is_troubled {
        installation.store.be_silent(SILENCE);
    } else {
        thread::sleep(SILENCE);
    }
    thread::sleep(CONTACT + Duration::from_millis(50));
    installation
        .store
        .put("config", &manifest(7, &routes, Some(&["key-a"])));
    let acknowledged = record.now();
    record.line("operator writes version 7, which takes key-b away");
    let end = acknowledged + Duration::from_secs(12);
    let mut broken = Vec::new();
    while record.now() < end {
        for machine in &installation.machines {
            let sent = callers.send(machine, "/blend/x", Some("key-b"));
            if sent.status == Some(200) && sent.stamped && sent.at > acknowledged + CONFIG_APPLY {
                broken.push(sent.at - acknowledged);
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    let last = installation
        .machines
        .iter()
        .map(|machine| callers.send(machine, "/blend/x", Some("key-b")).status);
    let last: Vec<Option<u16>> = last.collect();
    record.line(&format!(
        "{} requests with key-b that were sent later than {CONFIG_APPLY:?} after the acknowledgement ran, the last was sent \
         {:?} after it; in the end {last:?}",
        broken.len(),
        broken.last()
    ));
    if before.iter().any(|sent| sent.status != Some(200))
        || last.iter().any(|status| *status != Some(401))
    {
        return 2;
    }
    i32::from(!broken.is_empty())
}

/// A server crashes while it runs one request, on a route that was added later. It is back after some seconds.
fn innocent_request(installation: &Installation, callers: &Callers, is_troubled: bool) -> i32 {
    let record = &installation.record;
    WORK_MS.store(300, Ordering::SeqCst);
    let routes = ["/blend/".to_owned(), "/fresh/".to_owned()];
    installation
        .store
        .put("config", &manifest(3, &routes[..1], None));
    installation.start_all();
    sleep_until(record, LEAD);
    let send_each_second = |path: &'static str, delay: u64| {
        for (index, machine) in installation.machines.iter().enumerate() {
            let (callers, machine) = (callers.clone(), Arc::clone(machine));
            let stopped = Arc::clone(&installation.stopped);
            let delay = Duration::from_millis(delay + 150 * index as u64);
            thread::spawn(move || {
                thread::sleep(delay);
                while !stopped.load(Ordering::SeqCst) {
                    let started = Instant::now();
                    callers.send(&machine, path, None);
                    thread::sleep(Duration::from_secs(1).saturating_sub(started.elapsed()));
                }
            });
        }
    };
    send_each_second("/blend/list", 0);
    sleep_until(record, LEAD + Duration::from_secs(4));
    installation
        .store
        .put("config", &manifest(7, &routes, None));
    record.line("operator writes version 7, which adds the route /fresh/");
    thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
    send_each_second("/fresh/list", 75);
    thread::sleep(Duration::from_secs(6));
    let before = record.now();
    let runs_one = |machine: &&Arc<Machine>| *machine.running.lock().unwrap() == ["/fresh/list"];
    let machine = loop {
        match installation.machines.iter().find(runs_one) {
            Some(machine) => break machine,
            None => thread::sleep(Duration::from_millis(5)),
        }
        if record.now() > before + Duration::from_secs(20) {
            return 2;
        }
    };
    if is_troubled {
        record.line(&format!(
            "the server at {} crashes while it runs one request, of /fresh/list",
            machine.name
        ));
        machine.crashes.fetch_add(1, Ordering::SeqCst);
        machine.is_up.store(false, Ordering::SeqCst);
        machine.running.lock().unwrap().clear();
        thread::sleep(CRASH);
        machine.is_up.store(true, Ordering::SeqCst);
        record.line("the server is back");
    } else {
        thread::sleep(CRASH);
    }
    let steady = record.now() + CONTACT + Duration::from_secs(2);
    let end = steady + Duration::from_secs(25);
    sleep_until(record, end);
    let share = |path: &str, from: Duration, until: Duration| {
        let sent = callers.sent.lock().unwrap();
        let in_time = sent
            .iter()
            .filter(|sent| sent.path == path && sent.at >= from && sent.at < until);
        let in_time: Vec<&Sent> = in_time.collect();
        (
            in_time
                .iter()
                .filter(|sent| sent.status == Some(200) && sent.stamped)
                .count(),
            in_time.len(),
        )
    };
    let calm = (
        share("/blend/list", LEAD, before),
        share("/fresh/list", LEAD, before),
    );
    let (first, later) = (
        share("/blend/list", steady, end - DEADLINE),
        share("/fresh/list", steady, end - DEADLINE),
    );
    record.line(&format!(
        "served and sent, first route and added route: before the crash {calm:?}; in steady state after it {:?}",
        (first, later)
    ));
    if calm.0 .0 * 4 < calm.0 .1 || calm.1 .0 * 4 < calm.1 .1 || later.1 < 20 || first.0 == 0 {
        return 2;
    }
    i32::from(later.0 * first.1 * 4 < first.0 * later.1)
}

/// Four of the six machines are lost for good at once. Four others are added at new addresses.
fn lost_for_good(installation: &Installation, callers: &Callers, is_troubled: bool) -> i32 {
    let record = &installation.record;
    installation.store.put(
        "config",
        &manifest_of(3, &["/orders/".to_owned()], None, true),
    );
    installation.start_all();
    sleep_until(record, LEAD);
    let send_all = |machines: &[Arc<Machine>]| {
        for machine in machines {
            let (callers, machine) = (callers.clone(), Arc::clone(machine));
            let stopped = Arc::clone(&installation.stopped);
            thread::spawn(move || {
                let mut key = machine.app.port() as u32 + machine.name.len() as u32;
                while !stopped.load(Ordering::SeqCst) && machine.is_on.load(Ordering::SeqCst) {
                    let started = Instant::now();
                    key = (key * 31 + 4_099) % 65_536;
                    callers.send_with(
                        &machine,
                        "/orders/x",
                        None,
                        &format!("X-Shard-Key: {key}\r\n"),
                    );
                    thread::sleep(Duration::from_millis(100).saturating_sub(started.elapsed()));
                }
            });
        }
    };
    send_all(&installation.machines);
    let loss = LEAD + Duration::from_secs(10);
    sleep_until(record, loss);
    if is_troubled {
        for machine in &installation.machines[..SPARES] {
            installation.remove(machine);
        }
    }
    thread::sleep(Duration::from_secs(4));
    installation.add_spares();
    send_all(&installation.spares);
    let judged = record.now() + RECOVERY;
    let end = judged + Duration::from_secs(20);
    while record.now() < end {
        let rows = installation
            .machines
            .iter()
            .chain(&installation.spares)
            .map(|machine| {
                let mut holds = machine.holds.lock().unwrap();
                holds.expire();
                let keys: u32 = holds
                    .rows
                    .iter()
                    .map(|(first, last, _)| last - first + 1)
                    .sum();
                if machine.is_on.load(Ordering::SeqCst) {
                    keys
                } else {
                    0
                }
            });
        let rows: Vec<u32> = rows.collect();
        record.line(&format!(
            "keys that each server holds: {rows:?}, {} of 65536",
            rows.iter().sum::<u32>()
        ));
        thread::sleep(Duration::from_secs(1));
    }
    let (before, served_before) = callers.share(LEAD + Duration::from_secs(4), loss);
    let (after, served_after) = callers.share(judged, end - DEADLINE);
    record.line(&format!(
        "served before the loss: {served_before} of {before}; served later than {RECOVERY:?} after the new machines had \
         started: {served_after} of {after}"
    ));
    if before == 0 || served_before * 4 < before || after == 0 {
        return 2;
    }
    i32::from(served_after * 4 < after)
}

/// Plays a case in an installation of its own, and returns the exit code.
fn play(case: &str, root: &Path, work: &Path, record: &Arc<Record>, is_troubled: bool) -> i32 {
    let Some(installation) = Installation::start(root, work, Arc::clone(record)) else {
        return 2;
    };
    let callers = Callers {
        record: Arc::clone(record),
        sent: Arc::default(),
        next: Arc::new(AtomicU64::new(1)),
    };
    match case {
        "growing-manifest" => growing_manifest(&installation, &callers, is_troubled),
        "innocent-request" => innocent_request(&installation, &callers, is_troubled),
        "lost-for-good" => lost_for_good(&installation, &callers, is_troubled),
        "lost-reads" => lost_reads(&installation, &callers, is_troubled),
        "repeated-kills" => repeated_kills(&installation, &callers, is_troubled),
        _ => 2,
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: platform CASE FOLDER");
        std::process::exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let work = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    // A panic ends the processes as well, since it drops the installation.
    let played = std::panic::catch_unwind(|| {
        let root = std::env::current_dir().expect("there is a working directory");
        fs::create_dir_all(&work).expect("a temporary folder can be made");
        let file = fs::File::create(Path::new(&folder).join("record.txt"));
        let record = Arc::new(Record {
            start: Instant::now(),
            file: Mutex::new(file.expect("record.txt can be written")),
        });
        record.line(&format!("case {case}, with the disruption: {is_troubled}"));
        let code = play(&case, &root, &work, &record, is_troubled);
        record.line(&format!("exit {code}"));
        code
    });
    let code = played.unwrap_or(2);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&work);
    } else {
        eprintln!("logs: {}", work.display());
    }
    println!(
        "{case}: {}",
        match code {
            0 => "the rule held",
            1 => "the rule was broken",
            _ => "the case could not run",
        }
    );
    std::process::exit(code);
}
