//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub struct Record {
    file: Mutex<BufWriter<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Record> {
        Arc::new(Record {
            file: Mutex::new(BufWriter::new(
                File::create(folder.join("record.txt")).unwrap(),
            )),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// Writes a line to the record and to the output.
    pub fn note(&self, text: &str) {
        println!("{:8.3} {text}", self.started.elapsed().as_secs_f64());
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}
