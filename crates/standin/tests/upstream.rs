//! Tests of the upstream stand-in over HTTP.

use std::io::Read;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::Execution;
use standin::ExecutionOutcome;
use standin::UpstreamFaults;
use standin::UpstreamOptions;
use standin::UpstreamStandin;
use standin::read_executions;
use ureq::Agent;

/// Work time longer than any test, for requests that run until they are stopped, in milliseconds.
const UNTIL_STOPPED_MS: u64 = 60_000;

struct Client {
    agent: Agent,
    upstream: UpstreamStandin,
}

impl Client {
    fn new(options: &UpstreamOptions) -> Self {
        Self {
            agent: agent(),
            upstream: UpstreamStandin::start(options).unwrap(),
        }
    }

    fn post(&self, path: &str, body: &Value) -> (u16, Value) {
        let url = format!("http://{}{path}", self.upstream.address());
        let mut response = self.agent.post(url).send_json(body).unwrap();
        (
            response.status().as_u16(),
            response.body_mut().read_json().unwrap(),
        )
    }

    fn clock_ms(&self) -> u64 {
        self.health()["clock_ms"].as_u64().unwrap()
    }

    fn health(&self) -> Value {
        let url = format!("http://{}/v1/health", self.upstream.address());
        let mut response = self.agent.get(url).call().unwrap();
        response.body_mut().read_json().unwrap()
    }

    /// Sends a request and returns its id, the status, the id in the response and the reason why it did not run.
    fn send(&self, id: &str, fence: Option<u64>, path: &str) -> String {
        send(&self.agent, &self.upstream, id, fence, path)
    }

    fn send_in_background(
        &self,
        id: &str,
        fence: Option<u64>,
        path: &str,
    ) -> thread::JoinHandle<String> {
        let url = format!("http://{}{path}", self.upstream.address());
        let (id, agent) = (id.to_owned(), agent());
        thread::spawn(move || send_url(&agent, &url, &id, fence))
    }

    fn wait_for_health(&self, condition: impl Fn(&Value) -> bool) {
        while !condition(&self.health()) {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn outcomes(&self) -> Vec<ExecutionOutcome> {
        let executions = self.upstream.executions().unwrap();
        executions
            .iter()
            .map(|execution| execution.outcome)
            .collect()
    }
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(20)))
        .build()
        .into()
}

fn send(
    agent: &Agent,
    upstream: &UpstreamStandin,
    id: &str,
    fence: Option<u64>,
    path: &str,
) -> String {
    send_url(
        agent,
        &format!("http://{}{path}", upstream.address()),
        id,
        fence,
    )
}

fn send_url(agent: &Agent, url: &str, id: &str, fence: Option<u64>) -> String {
    let mut req = agent.get(url).header("skylark-request-id", id);
    if let Some(fence) = fence {
        req = req
            .header("skylark-unit", "shard:s:1")
            .header("skylark-fence", fence.to_string());
    }
    let Ok(response) = req.call() else {
        return format!("{id}: no answer\n");
    };
    let header = |name| {
        response
            .headers()
            .get(name)
            .map_or("-", |v| v.to_str().unwrap())
    };
    format!(
        "{id}: {} {} {}\n",
        response.status().as_u16(),
        header("skylark-request-id"),
        header("skylark-not-run"),
    )
}

fn grant_order(sequence: u64, expiry_ms: u64, changes: &Value) -> Value {
    let mut order = json!({"holder": "vm-1@1", "sequence": sequence, "expiry_ms": expiry_ms});
    for (name, value) in changes.as_object().unwrap() {
        order[name] = value.clone();
    }
    order
}

fn granted(fence: u64) -> Value {
    json!({"granted": [{"unit": "shard:s:1", "fence": fence}]})
}

#[test]
fn grants_are_fenced_and_expire_on_the_upstreams_clock() {
    let client = Client::new(&UpstreamOptions::default());
    let expiry_ms = client.clock_ms() + 600_000;
    let mut seen = client.send("before", Some(5), "/");
    assert_eq!(
        client
            .post("/v1/grants", &grant_order(1, expiry_ms, &granted(5)))
            .0,
        200
    );
    seen += &client.send("granted", Some(5), "/");
    seen += &client.send("other fence", Some(6), "/");
    assert_eq!(
        client
            .post("/v1/grants", &grant_order(1, expiry_ms, &granted(6)))
            .0,
        409
    );
    seen += &client.send("repeated order", Some(6), "/");
    client.post("/v1/grants", &grant_order(2, expiry_ms, &granted(4)));
    seen += &client.send("older fence", Some(4), "/");
    seen += &client.send("still granted", Some(5), "/");
    client.post("/v1/grants", &grant_order(3, client.clock_ms(), &json!({})));
    seen += &client.send("expired", Some(5), "/");
    client.post(
        "/v1/grants",
        &grant_order(4, expiry_ms, &json!({"revoked": ["shard:s:1"]})),
    );
    seen += &client.send("revoked", Some(5), "/");
    client.post("/v1/grants", &grant_order(5, expiry_ms, &granted(7)));
    client.post(
        "/v1/grants",
        &grant_order(6, expiry_ms, &json!({"all": true})),
    );
    seen += &client.send("replaced", Some(7), "/");
    seen += &client.send("no unit", None, "/");
    insta::assert_snapshot!(seen);
}

#[test]
fn grant_moves_to_the_holder_with_the_higher_fence() {
    let client = Client::new(&UpstreamOptions::default());
    let expiry_ms = client.clock_ms() + 600_000;
    client.post("/v1/grants", &grant_order(1, expiry_ms, &granted(5)));
    let mut next = grant_order(1, expiry_ms, &granted(6));
    next["holder"] = json!("vm-1@6");
    client.post("/v1/grants", &next);
    let mut seen = client.send("old", Some(5), "/");
    seen += &client.send("new", Some(6), "/");
    assert_eq!(seen, "old: 409 old fence\nnew: 200 new -\n");
}

#[test]
fn upstream_that_does_not_check_grants_runs_any_request() {
    let client = Client::new(&UpstreamOptions {
        checks_orders: false,
        ..UpstreamOptions::default()
    });
    assert_eq!(client.send("any", Some(5), "/"), "any: 200 any -\n");
}

#[test]
fn running_request_is_counted_after_revocation_and_ends_at_expiry() {
    let client = Client::new(&UpstreamOptions::default());
    let expiry_ms = client.clock_ms() + 600_000;
    client.post("/v1/grants", &grant_order(1, expiry_ms, &granted(5)));
    let run =
        client.send_in_background("endless", Some(5), &format!("/?work_ms={UNTIL_STOPPED_MS}"));
    client.wait_for_health(|health| health["running"] == 1);
    let revoke = grant_order(2, expiry_ms, &json!({"revoked": ["shard:s:1"]}));
    assert_eq!(
        client.post("/v1/grants", &revoke).1["running"],
        json!({"shard:s:1": 1})
    );
    let now_ms = client.clock_ms();
    client.post("/v1/grants", &grant_order(3, now_ms, &json!({})));
    assert_eq!(run.join().unwrap(), "endless: 504 endless -\n");
    assert_eq!(client.outcomes(), [ExecutionOutcome::GrantExpired]);
}

#[test]
fn cold_upstream_runs_one_request_and_sheds_the_next() {
    let client = Client::new(&UpstreamOptions {
        slots: 3,
        warm_ms: 3_600_000,
        ..UpstreamOptions::default()
    });
    let run = client.send_in_background("first", None, &format!("/?work_ms={UNTIL_STOPPED_MS}"));
    client.wait_for_health(|health| health["running"] == 1);
    assert_eq!(
        client.send("second", None, "/"),
        "second: 503 second shed\n"
    );
    assert_eq!(client.upstream.counters().overloads, 1);
    let cancel =
        |id| client.post("/v1/cancel", &json!({ "request_id": id })).1["cancelled"].clone();
    assert_eq!(cancel("second"), false);
    assert_eq!(cancel("first"), true);
    assert_eq!(run.join().unwrap(), "first: 504 first -\n");
    assert_eq!(
        client.outcomes(),
        [ExecutionOutcome::Cancelled, ExecutionOutcome::Shed]
    );
}

#[test]
fn warm_upstream_restarts_its_warm_up_on_command() {
    let client = Client::new(&UpstreamOptions {
        slots: 2,
        warm_ms: 300,
        ..UpstreamOptions::default()
    });
    let capacity = || {
        client.send("probe", None, "/");
        client
            .upstream
            .executions()
            .unwrap()
            .last()
            .unwrap()
            .capacity
    };
    while capacity() < 2 {}
    let cold = UpstreamFaults {
        turn_cold: true,
        ..UpstreamFaults::default()
    };
    // Retries because a probe that is delayed for longer than the warm-up misses the reduced capacity.
    let turned_cold = (0..100).any(|_| {
        client.upstream.set_faults(cold);
        capacity() == 1
    });
    assert!(turned_cold);
}

#[test]
fn work_time_scales_with_the_straggle_factor_and_all_requests_are_shed_on_command() {
    let client = Client::new(&UpstreamOptions {
        slots: 1,
        ..UpstreamOptions::default()
    });
    client.upstream.set_faults(UpstreamFaults {
        accepts_overload: true,
        straggle_factor: 0.0,
        ..UpstreamFaults::default()
    });
    assert_eq!(
        client.send("quick", None, "/?work_ms=60000"),
        "quick: 200 quick -\n"
    );
    client.upstream.set_faults(UpstreamFaults {
        sheds_all: true,
        ..UpstreamFaults::default()
    });
    assert_eq!(client.send("shed", None, "/"), "shed: 503 shed shed\n");
}

#[test]
fn deadline_stops_a_request() {
    let client = Client::new(&UpstreamOptions::default());
    let url = format!(
        "http://{}/?work_ms={UNTIL_STOPPED_MS}",
        client.upstream.address()
    );
    let req = client.agent.get(url).header("skylark-request-id", "late");
    let response = req.header("skylark-deadline-ms", "5").call().unwrap();
    assert_eq!(response.status(), 504);
    assert_eq!(client.outcomes(), [ExecutionOutcome::DeadlineExceeded]);
}

#[test]
fn crossed_response_carries_the_id_of_another_request() {
    let client = Client::new(&UpstreamOptions::default());
    let mut seen = client.send("a", None, "/");
    client.upstream.set_faults(UpstreamFaults {
        crossed_answers: 1,
        late_ms: 1,
        ..UpstreamFaults::default()
    });
    seen += &client.send("b", None, "/");
    seen += &client.send("c", None, "/");
    assert_eq!(seen, "a: 200 a -\nb: 200 a -\nc: 200 c -\n");
}

#[test]
fn silenced_connection_never_responds_while_new_connections_do() {
    let client = Client::new(&UpstreamOptions::default());
    let mut old = TcpStream::connect(client.upstream.address()).unwrap();
    while client.upstream.open_connections() < 1 {
        thread::sleep(Duration::from_millis(2));
    }
    client.upstream.set_faults(UpstreamFaults {
        silence_connections: true,
        ..UpstreamFaults::default()
    });
    std::io::Write::write_all(&mut old, b"GET /v1/health HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    assert_eq!(client.send("new", None, "/"), "new: 200 new -\n");
    old.set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    assert!(old.read(&mut [0; 1]).is_err());
}

#[test]
fn connections_are_limited_and_released() {
    let client = Client::new(&UpstreamOptions {
        connections: 1,
        ..UpstreamOptions::default()
    });
    let held = TcpStream::connect(client.upstream.address()).unwrap();
    while client.upstream.open_connections() < 1 {
        thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(client.send("refused", None, "/"), "refused: no answer\n");
    drop(held);
    while client.upstream.open_connections() > 0 {
        thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(client.send("served", None, "/"), "served: 200 served -\n");
    assert!(client.upstream.counters().refused_connections >= 1);
}

#[test]
fn reported_load_can_be_overridden_and_draining_is_reported() {
    let client = Client::new(&UpstreamOptions::default());
    client.upstream.set_faults(UpstreamFaults {
        load: Some(0.25),
        ..UpstreamFaults::default()
    });
    assert_eq!(
        client.post("/v1/drain", &json!({})).1,
        json!({"running": 0})
    );
    let health = client.health();
    assert_eq!(
        (&health["load"], &health["draining"]),
        (&json!(0.25), &json!(true))
    );
    client.send("during", None, "/");
    client.post("/v1/resume", &json!({}));
    assert_eq!(client.health()["draining"], false);
    assert!(client.upstream.executions().unwrap()[0].draining);
}

#[test]
fn reported_load_can_lag() {
    let client = Client::new(&UpstreamOptions::default());
    let load_with_lag = |load_lag_ms| {
        client.upstream.set_faults(UpstreamFaults {
            load_lag_ms,
            ..UpstreamFaults::default()
        });
        client.health()["load"].clone()
    };
    let run = client.send_in_background("endless", None, &format!("/?work_ms={UNTIL_STOPPED_MS}"));
    client.wait_for_health(|health| health["running"] == 1);
    assert_eq!(load_with_lag(0), 0.1);
    assert_eq!(load_with_lag(3_600_000), 0.0);
    client.post("/v1/cancel", &json!({"request_id": "endless"}));
    run.join().unwrap();
}

#[test]
fn executions_are_written_to_a_file_and_served() {
    let path = std::env::temp_dir().join(format!("{}.jsonl", uuid::Uuid::new_v4()));
    let client = Client::new(&UpstreamOptions {
        records: Some(path.clone()),
        ..UpstreamOptions::default()
    });
    client.send("a", None, "/");
    client.send("b", Some(1), "/");
    let url = format!("http://{}/records", client.upstream.control_address());
    let served = client
        .agent
        .get(url)
        .call()
        .unwrap()
        .into_body()
        .read_json::<Vec<Execution>>();
    let read = read_executions(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(served.unwrap(), read);
    let outcomes: Vec<_> = read.iter().map(|execution| execution.outcome).collect();
    assert_eq!(
        outcomes,
        [ExecutionOutcome::Ran, ExecutionOutcome::NotGranted]
    );
    assert!(read[0].start_us <= read[0].end_us.unwrap());
}

#[test]
fn upstream_announces_itself() {
    let home = TcpListener::bind("127.0.0.1:0").unwrap();
    let _upstream = UpstreamStandin::start(&UpstreamOptions {
        home: Some(home.local_addr().unwrap()),
        service: "ordering".to_owned(),
        ..UpstreamOptions::default()
    });
    let (mut stream, _) = home.accept().unwrap();
    let mut text = String::new();
    while !text.contains('}') {
        let mut buf = [0; 1024];
        let count = stream.read(&mut buf).unwrap();
        text += std::str::from_utf8(&buf[..count]).unwrap();
    }
    assert!(text.starts_with("POST /v1/announce HTTP/1.1\r\n"));
    let body = text.split("\r\n\r\n").nth(1).unwrap();
    let mut body = serde_json::from_str::<Value>(body).unwrap();
    body["address"] = json!("ADDRESS");
    body["instance"] = json!("INSTANCE");
    insta::assert_snapshot!(body);
}
