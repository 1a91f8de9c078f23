//! Calls to a server that no longer answers.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use records::unpooled_agent;

/// Timer of a connection on which the kernel will send a keep-alive probe, as `/proc/net/tcp` states it.
const KEEP_ALIVE_TIMER: &str = "02";

/// Time limit of a wait for a condition, far above what it needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the timer of the connection to a loopback address, if there is one.
fn timer_of_connection_to(address: SocketAddr) -> Option<String> {
    let remote = format!(":{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/self/net/tcp").unwrap();
    let mut connections = table.lines().skip(1).map(str::split_whitespace);
    connections.find_map(|mut fields| {
        fields.nth(2).filter(|field| field.ends_with(&remote))?;
        let timer = fields.nth(2)?;
        Some(timer.split(':').next()?.to_owned())
    })
}

#[test]
fn connections_probe_a_peer_that_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let call = std::thread::spawn(move || {
        let agent = unpooled_agent(None);
        agent.get(format!("http://{address}/")).call()
    });
    let (stream, _) = listener.accept().unwrap();
    let started = Instant::now();
    while timer_of_connection_to(address).as_deref() != Some(KEEP_ALIVE_TIMER) {
        assert!(!call.is_finished() && started.elapsed() < WAIT_TIMEOUT);
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(stream);
    call.join().unwrap().unwrap_err();
}
