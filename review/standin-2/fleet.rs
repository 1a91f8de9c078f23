//! Machines of a small deployment: the project's own process, with a server beside it.

use std::collections::BTreeMap;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::record::Record;
use crate::server::{Server, ServerConfig};

/// Settings that the site's pages state, as placeholders of the template.
const BOUNDS: [(&str, &str); 2] = [("bounds.evacuate", "5000ms"), ("bounds.grace", "6s")];

/// Requests in one second at which a cold server crashes, twice `warmup_per_s`.
const CRASH_RATE: usize = 38;

pub struct Machine {
    pub name: String,
    pub outbound: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    server: Mutex<Option<Arc<Server>>>,
    server_config: ServerConfig,
    server_port: u16,
    lives: Mutex<u32>,
    record: Arc<Record>,
}

pub struct MachineConfig<'a> {
    pub index: u8,
    pub zone: &'a str,
    pub service: &'a str,
    pub is_sharded: bool,
    pub slots: usize,
    pub work: Duration,
    pub answer_bytes: usize,
    pub warmup: Duration,
    pub store: SocketAddr,
    pub folder: &'a std::path::Path,
}

/// Returns free ports of an address.
fn free_ports(ip: Ipv4Addr, count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((ip, 0)).expect("a loopback address"))
        .collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap().port())
        .collect()
}

impl Machine {
    pub fn new(config: &MachineConfig<'_>, record: &Arc<Record>) -> Arc<Self> {
        // Each run has addresses of its own, so that several may run at once.
        let run = std::process::id() % 50_000;
        let ip = Ipv4Addr::new(127, 50 + (run / 250) as u8, (run % 250) as u8, 10 + config.index);
        let ports = free_ports(ip, 6);
        let name = format!("sidecar-{}-{}", config.zone, config.index);
        let mut fields: BTreeMap<&str, String> = BTreeMap::new();
        fields.insert("ip", ip.to_string());
        fields.insert("listen.control", format!("{ip}:{}", ports[0]));
        fields.insert("listen.outbound", format!("{ip}:{}", ports[1]));
        fields.insert("listen.ready", format!("{ip}:{}", ports[2]));
        fields.insert("port_range.0", ports[3].to_string());
        fields.insert("port_range.1", ports[4].to_string());
        fields.insert("service", config.service.to_owned());
        fields.insert("provider.address", config.store.to_string());
        fields.insert("region", "tayside".to_owned());
        fields.insert("node_name", name.clone());
        fields.insert("zone", config.zone.to_owned());
        fields.extend(BOUNDS.map(|(name, value)| (name, value.to_owned())));
        let template = fs::read_to_string("deploy/settings.json").expect("the template is there");
        let settings = config.folder.join(format!("{name}.json"));
        fs::write(&settings, fill(&template, &fields)).expect("settings can be written");
        let address = |port| SocketAddr::from((ip, port));
        Arc::new(Self {
            log: config.folder.join(format!("{name}.log")),
            outbound: address(ports[1]),
            settings,
            child: Mutex::new(None),
            server: Mutex::new(None),
            server_config: ServerConfig {
                ip,
                service: config.service.to_owned(),
                zone: config.zone.to_owned(),
                is_sharded: config.is_sharded,
                slots: config.slots,
                work: config.work,
                answer_bytes: config.answer_bytes,
                warmup: config.warmup,
                crash_rate: CRASH_RATE,
                control: address(ports[0]),
            },
            server_port: ports[5],
            lives: Mutex::new(0),
            name,
            record: record.clone(),
        })
    }

    /// Starts the process with the command of the deploy file.
    pub fn start_process(&self) {
        let deploy = fs::read_to_string("deploy/system.toml").expect("the deploy file is there");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .expect("`run`");
        let words: Vec<&str> = run.trim_end_matches('"').split(' ').collect();
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let mut command = Command::new(words[0]);
        command.args(&words[1..]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let child = command
            .env("SKYLARKRUDDER_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file starts: build it first");
        *self.child.lock().unwrap() = Some(child);
    }

    /// Kills the process with SIGKILL.
    pub fn kill_process(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts a new lifetime of the server, under a new id at the same address.
    pub fn start_server(&self) {
        let mut lives = self.lives.lock().unwrap();
        *lives += 1;
        let id = format!("i-{}-{lives}", self.name);
        let (config, record) = (self.server_config.clone(), self.record.clone());
        let server = Server::start(config, id, self.server_port, record);
        *self.server.lock().unwrap() = Some(server);
    }

    /// Starts a server of another service at the address of the former one.
    pub fn start_server_of(&self, service: &str) -> Arc<Server> {
        let config = ServerConfig {
            service: service.to_owned(),
            ..self.server_config.clone()
        };
        let id = format!("i-{}-{service}", self.name);
        let server = Server::start(config, id, self.server_port, self.record.clone());
        *self.server.lock().unwrap() = Some(server.clone());
        server
    }

    /// Changes the service in the settings file, and sends SIGHUP.
    pub fn change_service(&self, service: &str) {
        let text = fs::read_to_string(&self.settings).unwrap();
        let old = format!("\"caller_service\": \"{}\"", self.server_config.service);
        let new = format!("\"caller_service\": \"{service}\"");
        assert!(text.contains(&old));
        fs::write(&self.settings, text.replace(&old, &new)).unwrap();
        self.signal("-HUP");
    }

    /// Stops the process with SIGSTOP.
    pub fn freeze_process(&self) {
        self.signal("-STOP");
    }

    /// Lets the process continue.
    pub fn thaw_process(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            let _ = Command::new("kill").args([signal, &child.id().to_string()]).status();
        }
    }

    pub fn server(&self) -> Option<Arc<Server>> {
        self.server.lock().unwrap().clone()
    }

    /// Returns the address for check-ins.
    pub fn control(&self) -> SocketAddr {
        self.server_config.control
    }

    pub fn crash_server(&self) {
        if let Some(server) = self.server.lock().unwrap().take() {
            server.crash();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill_process();
    }
}

/// Fills in the template as DEPLOY.md tells it, as far as this project's template uses it.
fn fill(template: &str, fields: &BTreeMap<&str, String>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        out.push_str(before);
        let (name, after) = after.split_once("}}").expect("a placeholder ends");
        if let Some(section) = name.strip_prefix('#') {
            let end = format!("{{{{/{section}}}}}");
            let (inner, after) = after.split_once(&end).expect("a section ends");
            if fields.contains_key(section) {
                out.push_str(&fill(inner, fields));
            }
            rest = after;
            continue;
        }
        let (name, is_json) = match name.strip_suffix("|json") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let value = fields.get(name).cloned().unwrap_or_default();
        out.push_str(&if is_json { format!("\"{value}\"") } else { value });
        rest = after;
    }
    out.push_str(rest);
    out
}
