//! The platform's store: a log of topics with one partition each.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, write_response};

#[derive(Default)]
struct Topic {
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
    producers: HashMap<String, Producer>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    recent: VecDeque<(u64, u64, u64)>,
}

struct State {
    keep: Duration,
    topics: HashMap<String, Topic>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    changed: Arc<Condvar>,
    state: Arc<Mutex<State>>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self, keep: Duration) {
        while self
            .records
            .front()
            .is_some_and(|(at, _)| at.elapsed() > keep)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn append(&mut self, name: &str, record: Vec<u8>) {
        if name.starts_with("keyed.") && !record.is_empty() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
            let value = record[1 + length..].to_vec();
            match value.is_empty() {
                true => self.newest.remove(&key),
                false => self.newest.insert(key, (self.end(), value)),
            };
        }
        self.records.push_back((Instant::now(), record));
    }
}

impl Store {
    pub fn start(keep: Duration) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Store {
            address: listener.local_addr().unwrap(),
            changed: Arc::default(),
            state: Arc::new(Mutex::new(State {
                keep,
                topics: HashMap::new(),
            })),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record of the operator.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut state = self.state.lock().unwrap();
        state
            .topics
            .entry("keyed.op".to_owned())
            .or_default()
            .append("keyed.op", record);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader) {
            let (status, body) = self.handle(&call);
            if !write_response(&mut writer, status, &[], &body) {
                return;
            }
        }
    }

    fn handle(&self, call: &Message) -> (u16, Vec<u8>) {
        std::thread::sleep(Duration::from_millis(4));
        let topic = call.query("topic").unwrap_or_default();
        match call.target().split('?').next().unwrap_or("") {
            "/log-append" => self.append(call, &topic),
            "/log-read" => self.read(call, &topic),
            "/log-newest" => self.newest(call, &topic),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, call: &Message, name: &str) -> (u16, Vec<u8>) {
        if name == "keyed.op" || name == "keyed.servers" {
            return (403, Vec::new());
        }
        let number = |field: &str| call.query(field).and_then(|text| text.parse::<u64>().ok());
        let mut state = self.state.lock().unwrap();
        let keep = state.keep;
        let topic = state.topics.entry(name.to_owned()).or_default();
        topic.expire(keep);
        if let Some(at) = number("at")
            && at != topic.end()
        {
            return (
                412,
                format!("{{\"end_offset\":{}}}", topic.end()).into_bytes(),
            );
        }
        let mut sequence = None;
        if let (Some(producer), Some(epoch), Some(seq)) =
            (call.query("producer"), number("epoch"), number("seq"))
        {
            let known = topic.producers.entry(producer.clone()).or_default();
            if epoch < known.epoch {
                return (409, b"{\"why\":\"fenced\"}".to_vec());
            }
            if epoch > known.epoch {
                *known = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if let Some((_, offset, end)) = known.recent.iter().find(|(known, _, _)| *known == seq)
            {
                return (
                    200,
                    format!("{{\"offset\":{offset},\"end_offset\":{end}}}").into_bytes(),
                );
            }
            if let Some(next) = known.next.filter(|next| *next != seq) {
                return (
                    409,
                    format!("{{\"why\":\"seq\",\"expected\":{next}}}").into_bytes(),
                );
            }
            sequence = Some((producer, seq));
        }
        let offset = topic.end();
        let mut bytes = &call.body[..];
        while let Some((length, rest)) = bytes.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            topic.append(name, rest[..length].to_vec());
            bytes = &rest[length..];
        }
        let end = topic.end();
        if let Some((producer, seq)) = sequence {
            let known = topic.producers.entry(producer).or_default();
            known.next = Some(seq + 1);
            known.recent.push_back((seq, offset, end));
            if known.recent.len() > 5 {
                known.recent.pop_front();
            }
        }
        self.changed.notify_all();
        (
            200,
            format!("{{\"offset\":{offset},\"end_offset\":{end}}}").into_bytes(),
        )
    }

    fn read(&self, call: &Message, name: &str) -> (u16, Vec<u8>) {
        let number = |field: &str| call.query(field).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let max = number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until =
            Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let keep = state.keep;
            let topic = state.topics.entry(name.to_owned()).or_default();
            topic.expire(keep);
            if from < topic.first {
                return (
                    410,
                    format!("{{\"first_offset\":{}}}", topic.first).into_bytes(),
                );
            }
            let now = Instant::now();
            if from < topic.end() || now >= until {
                let mut bytes = Vec::new();
                bytes.extend_from_slice(&topic.end().to_be_bytes());
                bytes.extend_from_slice(&topic.first.to_be_bytes());
                let skipped = (from - topic.first) as usize;
                for (_, record) in topic.records.iter().skip(skipped) {
                    if bytes.len() > 16 && bytes.len() + record.len() > max {
                        break;
                    }
                    bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    bytes.extend_from_slice(record);
                }
                return (200, bytes);
            }
            let left = (until - now).min(Duration::from_millis(200));
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, call: &Message, name: &str) -> (u16, Vec<u8>) {
        let after = call.query("after");
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let mut items = Vec::new();
        let mut more = false;
        for (key, (offset, value)) in &topic.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() == 500 {
                more = true;
                break;
            }
            items.push(format!(
                "{{\"key\":\"{key}\",\"offset\":{offset},\"value\":\"{}\"}}",
                base64(value)
            ));
        }
        let end = topic.end();
        let body = format!(
            "{{\"items\":[{}],\"more\":{more},\"end_offset\":{end}}}",
            items.join(",")
        );
        (200, body.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
