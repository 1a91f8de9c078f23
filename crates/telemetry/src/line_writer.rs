//! A bounded queue of log lines in front of one writer.

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

/// Time after which written lines leave, and after which the number of dropped ones is told.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Largest number of bytes that are written at once.
const BUFFER_BYTES: usize = 16 << 10;

/// Writes log lines from one thread. Those who log never wait: a line that finds the queue full is dropped and counted.
#[derive(Clone, Debug)]
pub struct LineWriter {
    dropped: Arc<AtomicU64>,
    tx: SyncSender<Message>,
}

#[derive(Debug)]
enum Message {
    /// Tells the sender when everything before it has been written.
    Flush(SyncSender<()>),
    Line(String),
}

struct Writer<W: Write> {
    dropped: Arc<AtomicU64>,
    out: BufWriter<W>,
    told: u64,
    vm: VmId,
}

impl LineWriter {
    /// Starts the thread, behind a queue of `most` lines.
    ///
    /// # Errors
    ///
    /// Returns an error when the system cannot start a thread.
    pub fn start(out: impl Write + Send + 'static, most: usize, vm: VmId) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(most);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = Writer {
            dropped: Arc::clone(&dropped),
            out: BufWriter::with_capacity(BUFFER_BYTES, out),
            told: 0,
            vm,
        };
        let builder = thread::Builder::new().name("log-lines".to_owned());
        builder.spawn(move || writer.run(&rx))?;
        Ok(Self { dropped, tx })
    }

    /// Writes a line soon, or drops it when the queue is full.
    pub fn write(&self, line: String) {
        if self.tx.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines that were dropped.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until the lines so far are written, at most for `patience`.
    pub fn flush_within(&self, patience: Duration) {
        let (tx, rx) = sync_channel(1);
        if self.tx.try_send(Message::Flush(tx)).is_ok() {
            // A writer that is blocked for longer keeps its lines, and the process ends without them.
            let _ = rx.recv_timeout(patience);
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
    /// Writes lines until nobody logs any more. A line that the output refuses is lost with it.
    fn run(mut self, rx: &Receiver<Message>) {
        let mut is_clean = true;
        loop {
            let received = if is_clean {
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
                    is_clean = false;
                }
                Err(RecvTimeoutError::Timeout) => {
                    self.flush();
                    is_clean = true;
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
        if dropped > self.told {
            let line = EventLine {
                event: ProcessEvent::LinesDropped {
                    count: dropped - self.told,
                },
                time_unix_ms: unix_ms(),
                vm: self.vm.clone(),
            };
            self.told = dropped;
            let _ = writeln!(self.out, "{}", line.to_json());
        }
        let _ = self.out.flush();
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
