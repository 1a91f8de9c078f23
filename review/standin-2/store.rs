//! A stand-in for the platform's store, as PROTOCOL.md describes it.

use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Topic {
    first: u64,
    /// Records with the times at which they were appended.
    records: VecDeque<(Instant, Vec<u8>)>,
    /// Newest record of each key of a keyed topic, with its offset.
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    /// Sequence numbers of the last appends, with their responses.
    last: VecDeque<(u64, String)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

pub struct Store {
    pub address: SocketAddr,
    keep: Duration,
    state: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
    /// Whether all calls are refused.
    is_down: AtomicBool,
}

impl Store {
    /// Starts a store that keeps records for `keep`.
    pub fn start(keep: Duration) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            keep,
            state: Mutex::default(),
            changed: Condvar::new(),
            is_down: AtomicBool::new(false),
        });
        let serving = store.clone();
        http::serve(
            listener,
            Arc::new(move |message, stream| serving.handle(&message, stream)),
        );
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            expiring.expire();
        });
        store
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        for topic in state.values_mut() {
            while topic.records.front().is_some_and(|(at, _)| at.elapsed() >= self.keep) {
                topic.records.pop_front();
                topic.first += 1;
            }
        }
    }

    /// Refuses all calls for some time.
    pub fn refuse_for(self: &Arc<Self>, time: Duration) {
        self.is_down.store(true, Ordering::SeqCst);
        let store = self.clone();
        thread::spawn(move || {
            thread::sleep(time);
            store.is_down.store(false, Ordering::SeqCst);
        });
    }

    /// Writes a record of a keyed topic, as operators do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut state = self.state.lock().unwrap();
        add(state.entry(topic.to_owned()).or_default(), topic, record);
        self.changed.notify_all();
    }

    fn handle(&self, message: &Message, stream: &mut TcpStream) -> bool {
        thread::sleep(ANSWER_TIME);
        if self.is_down.load(Ordering::SeqCst) {
            return stream.write_all(&json(503, "{}")).is_ok();
        }
        let answer = match message.path() {
            "/log-append" => self.append(message),
            "/log-read" => self.read(message),
            "/log-newest" => self.newest(message),
            "/log-trim" => http::response(200, &[], b"{}"),
            _ => http::response(404, &[], b"{}"),
        };
        stream.write_all(&answer).is_ok()
    }

    fn append(&self, message: &Message) -> Vec<u8> {
        let name = message.query("topic").unwrap_or_default();
        let number = |name: &str| message.query(name).and_then(|text| text.parse::<u64>().ok());
        if name == "keyed.op" || name == "keyed.servers" {
            return http::response(403, &[], b"{}");
        }
        let mut records = Vec::new();
        let mut rest = &message.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if length > 262_144 || rest.len() < 4 + length {
                return http::response(400, &[], b"{}");
            }
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let mut state = self.state.lock().unwrap();
        let topic = state.entry(name.clone()).or_default();
        let end = topic.end();
        if let (Some(producer), Some(epoch)) = (message.query("producer"), number("epoch")) {
            let seq = number("seq").unwrap_or(0);
            let producer = topic.producers.entry(producer).or_default();
            if epoch < producer.epoch {
                return json(409, "{\"why\":\"fenced\"}");
            }
            if epoch > producer.epoch {
                *producer = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if let Some((_, text)) = producer.last.iter().find(|(s, _)| *s == seq) {
                return json(200, text);
            }
            if let Some(expected) = producer.next.filter(|next| *next != seq) {
                return json(409, &format!("{{\"why\":\"seq\",\"expected\":{expected}}}"));
            }
            if number("at").is_some_and(|at| at != end) {
                return json(412, &format!("{{\"end_offset\":{end}}}"));
            }
            producer.next = Some(seq + 1);
            let text = format!("{{\"offset\":{end},\"end_offset\":{}}}", end + records.len() as u64);
            producer.last.push_back((seq, text));
            if producer.last.len() > 5 {
                producer.last.pop_front();
            }
        } else if number("at").is_some_and(|at| at != end) {
            return json(412, &format!("{{\"end_offset\":{end}}}"));
        }
        let count = records.len() as u64;
        for record in records {
            add(topic, &name, record);
        }
        self.changed.notify_all();
        json(200, &format!("{{\"offset\":{end},\"end_offset\":{}}}", end + count))
    }

    fn read(&self, message: &Message) -> Vec<u8> {
        let name = message.query("topic").unwrap_or_default();
        let number = |name: &str| message.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let max = number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let topic = state.entry(name.clone()).or_default();
            if from < topic.first {
                return json(410, &format!("{{\"first_offset\":{}}}", topic.first));
            }
            let now = Instant::now();
            if from < topic.end() || now >= until {
                let mut body = topic.end().to_be_bytes().to_vec();
                body.extend_from_slice(&topic.first.to_be_bytes());
                for (_, record) in topic.records.iter().skip((from - topic.first) as usize) {
                    if body.len() > 16 && body.len() + 4 + record.len() > max {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return http::response(200, &[], &body);
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn newest(&self, message: &Message) -> Vec<u8> {
        let name = message.query("topic").unwrap_or_default();
        let after = message.query("after").unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let topic = state.entry(name).or_default();
        let items = topic.newest.iter().filter(|(key, _)| **key > after);
        let items: Vec<String> = items
            .map(|(key, (value, offset))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), topic.end());
        json(
            200,
            &format!("{{\"items\":[{items}],\"more\":false,\"end_offset\":{end}}}"),
        )
    }
}

fn add(topic: &mut Topic, name: &str, record: Vec<u8>) {
    if name.starts_with("keyed.") && !record.is_empty() {
        let length = record[0] as usize;
        if record.len() > length {
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = record[1 + length..].to_vec();
            if value.is_empty() {
                topic.newest.remove(&key);
            } else {
                let offset = topic.end();
                topic.newest.insert(key, (value, offset));
            }
        }
    }
    topic.records.push_back((Instant::now(), record));
}

fn json(status: u16, text: &str) -> Vec<u8> {
    let headers = [("content-type", "application/json".to_owned())];
    http::response(status, &headers, text.as_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
