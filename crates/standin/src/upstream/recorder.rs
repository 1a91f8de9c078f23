//! The records of executions.

use std::collections::BTreeMap;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::Execution;
use crate::read_executions;

/// Writes every execution at its start and at its end.
#[derive(Debug)]
pub(crate) struct Recorder {
    next_serial: u64,
    sink: Sink,
}

#[derive(Debug)]
enum Sink {
    File(File, PathBuf),
    Memory(BTreeMap<u64, Execution>),
}

impl Recorder {
    /// Opens a recorder that writes to a file, or else keeps executions in memory.
    pub(crate) fn new(path: Option<&Path>) -> io::Result<Self> {
        let sink = match path {
            Some(path) => {
                let file = OpenOptions::new().create(true).append(true).open(path)?;
                Sink::File(file, path.to_owned())
            }
            None => Sink::Memory(BTreeMap::new()),
        };
        Ok(Self {
            next_serial: 0,
            sink,
        })
    }

    /// Returns the serial of a new execution.
    pub(crate) fn allocate_serial(&mut self) -> u64 {
        let serial = self.next_serial;
        self.next_serial += 1;
        serial
    }

    /// Returns every execution, with those of earlier lives in the same file.
    pub(crate) fn executions(&self) -> io::Result<Vec<Execution>> {
        match &self.sink {
            Sink::File(_, path) => read_executions(path),
            Sink::Memory(executions) => Ok(executions.values().cloned().collect()),
        }
    }

    /// Records an execution, in place of an earlier record with its serial.
    ///
    /// # Panics
    ///
    /// Panics when the file cannot be written, since a trace with gaps proves nothing.
    pub(crate) fn record(&mut self, execution: &Execution) {
        match &mut self.sink {
            Sink::File(file, _) => {
                let mut line = serde_json::to_vec(execution).expect("an execution has string keys");
                line.push(b'\n');
                file.write_all(&line)
                    .expect("free space for the file of executions");
            }
            Sink::Memory(executions) => {
                executions.insert(execution.serial, execution.clone());
            }
        }
    }
}
