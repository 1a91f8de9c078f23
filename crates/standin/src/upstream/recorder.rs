//! Recording of executions.

use std::collections::BTreeMap;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::Execution;
use crate::read_executions;

/// Records executions in a file or in memory, each at its start and again at its end.
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
    /// Creates a recorder that appends to a file, or keeps executions in memory when `path` is absent.
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

    /// Returns a new serial number for an execution.
    pub(crate) fn allocate_serial(&mut self) -> u64 {
        let serial = self.next_serial;
        self.next_serial += 1;
        serial
    }

    /// Returns all executions, including those of earlier incarnations in the same file.
    pub(crate) fn executions(&self) -> io::Result<Vec<Execution>> {
        match &self.sink {
            Sink::File(_, path) => read_executions(path),
            Sink::Memory(executions) => Ok(executions.values().cloned().collect()),
        }
    }

    /// Records an execution, which replaces an earlier record with the same serial number.
    ///
    /// # Panics
    ///
    /// Panics when the file cannot be written, because an incomplete trace cannot be checked.
    pub(crate) fn record(&mut self, execution: &Execution) {
        match &mut self.sink {
            Sink::File(file, _) => {
                let mut line =
                    serde_json::to_vec(execution).expect("an execution serializes to JSON");
                line.push(b'\n');
                file.write_all(&line)
                    .expect("the file of executions is writable and its disk has free space");
            }
            Sink::Memory(executions) => {
                executions.insert(execution.serial, execution.clone());
            }
        }
    }
}
