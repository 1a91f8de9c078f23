//! Log lines: which are written, and that nobody waits for them.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use telemetry::Dependency;
use telemetry::DependencyTracker;
use telemetry::LineWriter;
use telemetry::ProcessEvent;

/// An output that takes nothing until it is opened.
#[derive(Clone, Default)]
struct Gate {
    is_open: Arc<(Mutex<bool>, Condvar)>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Gate {
    fn open(&self) {
        *self.is_open.0.lock().unwrap() = true;
        self.is_open.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.written.lock().unwrap().clone()).unwrap()
    }
}

impl Write for Gate {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let closed = self.is_open.0.lock().unwrap();
        drop(self.is_open.1.wait_while(closed, |is_open| !*is_open));
        self.written.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_beyond_the_queue_are_dropped_and_their_number_is_told() {
    let gate = Gate::default();
    let lines = LineWriter::start(gate.clone(), 8, "vm-1".to_owned()).unwrap();
    let long = "x".repeat(32 << 10);
    for _ in 0..100 {
        lines.write(long.clone());
    }
    let dropped = lines.dropped_lines();
    assert!(dropped > 80, "the output takes nothing: {dropped}");
    gate.open();
    lines.flush_within(Duration::from_secs(60));
    while !gate.text().contains("lines-dropped") {
        lines.flush_within(Duration::from_secs(60));
    }
    let text = gate.text();
    assert!(text.contains(&format!("\"count\":{dropped}")));
    let written = text.lines().filter(|line| line.starts_with('x')).count();
    assert_eq!(written as u64 + dropped, 100);
}

#[test]
fn a_dependency_is_told_when_it_is_lost_and_when_it_is_back() {
    let dependencies = DependencyTracker::default();
    let at = Duration::from_millis;
    let lost = |now| dependencies.record_lost(at(now), Dependency::Peer, "vm-2", "no answer");
    assert!(
        dependencies
            .record_regained(at(0), Dependency::Peer, "vm-2")
            .is_none()
    );
    assert!(matches!(
        lost(100),
        Some(ProcessEvent::DependencyLost { .. })
    ));
    assert_eq!(lost(200), None, "it is lost already");
    assert_eq!(dependencies.count_lost(Dependency::Peer), 1);
    let back = dependencies.record_regained(at(350), Dependency::Peer, "vm-2");
    assert_eq!(
        back,
        Some(ProcessEvent::DependencyRegained {
            dependency: Dependency::Peer,
            lost_ms: 250,
            name: "vm-2".to_owned(),
        })
    );
    assert_eq!(dependencies.count_lost(Dependency::Peer), 0);
}
