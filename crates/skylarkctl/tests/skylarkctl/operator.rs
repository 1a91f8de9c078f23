//! An operator with a log in memory.

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

/// What happens just before an append.
type Before = Box<dyn FnOnce(&MemoryLog) + Send>;

/// A log that several commands share.
#[derive(Clone, Default)]
pub(crate) struct Operator {
    /// Whether reads fail from the next append on.
    fail_reads: Arc<AtomicBool>,
    has_appended: Arc<AtomicBool>,
    before: Arc<Mutex<Option<Before>>>,
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

    /// Has something happen just before the next append.
    pub(crate) fn before_next_append(&self, before: impl FnOnce(&MemoryLog) + Send + 'static) {
        *self.before.lock().unwrap() = Some(Box::new(before));
    }

    /// Fails every read behind the next append until the guard is dropped.
    pub(crate) fn fail_reads_after_append(&self) -> FailingReads {
        self.has_appended.store(false, Ordering::Relaxed);
        self.fail_reads.store(true, Ordering::Relaxed);
        FailingReads(self.fail_reads.clone())
    }

    /// Runs a command line, which has no spaces within its words.
    pub(crate) fn run(&self, line: &str) -> Output {
        let line = format!("--log memory --timeout-ms 1000 --writer tester {line}");
        run_line(&line, self)
    }

    /// Runs a command line, and returns what it prints with its exit code.
    pub(crate) fn text(&self, line: &str) -> String {
        format!("$ {line}\n{}", shown(&self.run(line)))
    }
}

/// Ends the failing of reads when it is dropped.
pub(crate) struct FailingReads(Arc<AtomicBool>);

impl Drop for FailingReads {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

impl Log for Operator {
    fn append(&self, record: &[u8]) -> Result<Offset, AppendError> {
        if let Some(before) = self.before.lock().unwrap().take() {
            before(&self.log);
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

pub(crate) fn shown(output: &Output) -> String {
    format!("{}{}[{}]\n", output.stdout, output.stderr, output.exit_code)
}
