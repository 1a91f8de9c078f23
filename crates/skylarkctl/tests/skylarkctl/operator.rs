//! Test fixture: an operator with an in-memory log.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cluster::Record;
use ids::Offset;
use records::AppendError;
use records::Batch;
use records::Log;
use records::MemoryLog;
use records::ReadError;
use skylarkctl::Output;

/// Function that is called just before an append.
type AppendHook = Box<dyn FnOnce(&MemoryLog) + Send>;

/// An operator whose commands share one log.
#[derive(Clone, Default)]
pub(crate) struct Operator {
    /// Whether reads fail once `has_appended` is set.
    fail_reads: Arc<AtomicBool>,
    has_appended: Arc<AtomicBool>,
    append_hook: Arc<Mutex<Option<AppendHook>>>,
    pub(crate) log: Arc<MemoryLog>,
}

impl Operator {
    /// Returns an operator who has published both documents.
    pub(crate) fn with_documents() -> Self {
        let operator = Self::default();
        operator.run("publish plans tests/fixtures/plans.json");
        let output = operator.run("publish workspaces tests/fixtures/workspaces.json");
        assert_eq!(output.exit_code, 0, "{output:?}");
        operator
    }

    /// Appends a record as a member would.
    pub(crate) fn append(&self, id: &str, body: &str) {
        let record = format!(r#"{{"body": {body}, "id": "{id}", "writer": "vm-1"}}"#);
        serde_json::from_str::<Record>(&record).unwrap();
        self.log.append(record.as_bytes()).unwrap();
    }

    /// Adds a member in zone `za`.
    pub(crate) fn join(&self, vm: &str) {
        let body = format!(
            r#"{{"type": "join", "vm": "{vm}", "zone": "za", "region": "r", "peer": "127.0.0.1:7000",
                "connections": 80, "service": "ordering", "slots": 10}}"#
        );
        self.append(vm, &body);
    }

    /// Calls `hook` just before the next append.
    pub(crate) fn before_next_append(&self, hook: impl FnOnce(&MemoryLog) + Send + 'static) {
        *self.append_hook.lock().unwrap() = Some(Box::new(hook));
    }

    /// Fails every read after the next append until the guard is dropped.
    pub(crate) fn fail_reads_after_append(&self) -> FailingReads {
        self.has_appended.store(false, Ordering::Relaxed);
        self.fail_reads.store(true, Ordering::Relaxed);
        FailingReads(self.fail_reads.clone())
    }

    /// Runs a command line. Its arguments must not contain spaces.
    pub(crate) fn run(&self, line: &str) -> Output {
        let line = format!("--log memory --timeout-ms 1000 --writer tester {line}");
        run_line(&line, self)
    }

    /// Runs a command line, and returns it with its output and exit code.
    pub(crate) fn text(&self, line: &str) -> String {
        format!("$ {line}\n{}", format_output(&self.run(line)))
    }
}

/// Guard that lets reads succeed again when it is dropped.
pub(crate) struct FailingReads(Arc<AtomicBool>);

impl Drop for FailingReads {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

impl Log for Operator {
    fn append(&self, record: &[u8]) -> Result<Offset, AppendError> {
        if let Some(hook) = self.append_hook.lock().unwrap().take() {
            hook(&self.log);
        }
        self.has_appended.store(true, Ordering::Relaxed);
        self.log.append(record)
    }

    fn read(&self, from: Offset, max: usize, wait: Duration) -> Result<Batch, ReadError> {
        if self.fail_reads.load(Ordering::Relaxed) && self.has_appended.load(Ordering::Relaxed) {
            return Err(ReadError::Unavailable("cut off".to_owned()));
        }
        self.log.read(from, max, wait)
    }
}

pub(crate) fn run_line(line: &str, operator: &Operator) -> Output {
    let args = line.split_whitespace().map(Into::into).collect();
    skylarkctl::run(args, &|_, _| Box::new(operator.clone()))
}

pub(crate) fn format_output(output: &Output) -> String {
    format!("{}{}[{}]\n", output.stdout, output.stderr, output.exit_code)
}
