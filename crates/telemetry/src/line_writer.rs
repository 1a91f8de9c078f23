//! Writer thread for log lines, fed by a bounded queue.

use std::io::BufWriter;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use ids::VmId;
use log::Log;
use log::Metadata;
use log::Record;

use crate::EventLine;
use crate::ProcessEvent;

/// Interval at which buffered lines are flushed and the number of dropped lines is reported.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of bytes in one write.
const BUFFER_BYTES: usize = 16 << 10;

/// Writes log lines from a single thread. Logging never blocks: a line is dropped and counted when the queue is full.
#[derive(Clone, Debug)]
pub struct LineWriter {
    dropped: Arc<AtomicU64>,
    tx: SyncSender<Message>,
}

#[derive(Debug)]
enum Message {
    /// Flushes all earlier lines, then notifies the sender.
    Flush(SyncSender<()>),
    Line(String),
}

struct Writer<W: Write> {
    dropped: Arc<AtomicU64>,
    out: BufWriter<W>,
    /// Number of dropped lines that have been reported.
    reported_dropped: u64,
    vm: VmId,
}

impl LineWriter {
    /// Starts the writer thread, fed by a queue of up to `capacity` lines.
    ///
    /// # Errors
    ///
    /// Returns an error when the system cannot start a thread.
    pub fn start(
        out: impl Write + Send + 'static,
        capacity: usize,
        vm: VmId,
    ) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = Writer {
            dropped: Arc::clone(&dropped),
            out: BufWriter::with_capacity(BUFFER_BYTES, out),
            reported_dropped: 0,
            vm,
        };
        let builder = thread::Builder::new().name("log-lines".to_owned());
        builder.spawn(move || writer.run(&rx))?;
        Ok(Self { dropped, tx })
    }

    /// Queues a line to be written, or drops it when the queue is full.
    pub fn write(&self, line: String) {
        if self.tx.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines that were dropped.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all earlier lines are written, for at most `timeout`.
    pub fn flush_within(&self, timeout: Duration) {
        let (tx, rx) = sync_channel(1);
        if self.tx.try_send(Message::Flush(tx)).is_ok() {
            // If the writer is blocked for longer, its lines are lost when the process ends.
            let _ = rx.recv_timeout(timeout);
        }
    }
}

impl Log for LineWriter {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn flush(&self) {
        self.flush_within(FLUSH_INTERVAL);
    }

    fn log(&self, record: &Record<'_>) {
        self.write(record.args().to_string());
    }
}

impl<W: Write> Writer<W> {
    /// Writes lines until all senders are gone. Write errors are ignored, and the lines concerned are lost.
    fn run(mut self, rx: &Receiver<Message>) {
        let mut is_flushed = true;
        loop {
            let received = if is_flushed {
                rx.recv().map_err(|_| RecvTimeoutError::Disconnected)
            } else {
                rx.recv_timeout(FLUSH_INTERVAL)
            };
            match received {
                Ok(Message::Flush(done)) => {
                    self.flush();
                    let _ = done.send(());
                }
                Ok(Message::Line(line)) => {
                    let _ = writeln!(self.out, "{line}");
                    is_flushed = false;
                }
                Err(RecvTimeoutError::Timeout) => {
                    self.flush();
                    is_flushed = true;
                }
                Err(RecvTimeoutError::Disconnected) => {
                    self.flush();
                    return;
                }
            }
        }
    }

    fn flush(&mut self) {
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > self.reported_dropped {
            let line = EventLine {
                event: ProcessEvent::LinesDropped {
                    count: dropped - self.reported_dropped,
                },
                time_unix_ms: unix_ms(),
                vm: self.vm.clone(),
            };
            self.reported_dropped = dropped;
            let _ = writeln!(self.out, "{}", line.to_json());
        }
        let _ = self.out.flush();
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
