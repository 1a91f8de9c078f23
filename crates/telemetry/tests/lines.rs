//! Log lines are dropped instead of blocking the process, and lost dependencies are reported once.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use telemetry::Dependency;
use telemetry::DependencyTracker;
use telemetry::LineWriter;
use telemetry::ProcessEvent;

/// Output that blocks all writes until it is unblocked.
#[derive(Clone, Default)]
struct BlockedOutput {
    is_unblocked: Arc<(Mutex<bool>, Condvar)>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl BlockedOutput {
    fn unblock(&self) {
        *self.is_unblocked.0.lock().unwrap() = true;
        self.is_unblocked.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.written.lock().unwrap().clone()).unwrap()
    }
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let state = self.is_unblocked.0.lock().unwrap();
        drop(
            self.is_unblocked
                .1
                .wait_while(state, |is_unblocked| !*is_unblocked),
        );
        self.written.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_beyond_the_queue_are_dropped_and_their_number_is_logged() {
    let output = BlockedOutput::default();
    let writer = LineWriter::start(output.clone(), 8, "vm-1".to_owned()).unwrap();
    let long = "x".repeat(32 << 10);
    for _ in 0..100 {
        writer.write(long.clone());
    }
    let dropped = writer.dropped_lines();
    assert!(dropped > 80, "the output is blocked: {dropped}");
    output.unblock();
    writer.flush_within(Duration::from_secs(60));
    while !output.text().contains("lines-dropped") {
        writer.flush_within(Duration::from_secs(60));
    }
    let text = output.text();
    assert!(text.contains(&format!("\"count\":{dropped}")));
    let written = text.lines().filter(|line| line.starts_with('x')).count();
    assert_eq!(written as u64 + dropped, 100);
}

#[test]
fn loss_and_recovery_of_a_dependency_are_reported_once() {
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
    let recovered = dependencies.record_regained(at(350), Dependency::Peer, "vm-2");
    assert_eq!(
        recovered,
        Some(ProcessEvent::DependencyRegained {
            dependency: Dependency::Peer,
            lost_ms: 250,
            name: "vm-2".to_owned(),
        })
    );
    assert_eq!(dependencies.count_lost(Dependency::Peer), 0);
}
