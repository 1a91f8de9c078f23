//! Writes the trace of the events that the control thread handles.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::time::Duration;

use membership::Event;
use membership::TraceLine;

/// Writes each event with its time, so that the trace can be replayed.
#[derive(Debug)]
pub(crate) struct TraceWriter {
    file: BufWriter<File>,
}

impl TraceWriter {
    /// Creates the trace file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be created.
    pub(crate) fn create(path: &Path) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self { file })
    }

    /// Writes one event.
    pub(crate) fn write(&mut self, at: Duration, event: &Event) {
        let line = TraceLine {
            at,
            event: event.clone(),
        };
        let written = line
            .to_json()
            .map_err(std::io::Error::other)
            .and_then(|json| writeln!(self.file, "{json}"))
            .and_then(|()| self.file.flush());
        if let Err(error) = written {
            log::error!("the trace cannot be written: {error}");
        }
    }
}
