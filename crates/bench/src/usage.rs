//! CPU time and memory used by a process.

use std::fs::read_to_string;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;

/// Clock ticks per second in which the kernel reports CPU time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Index of the user time in `/proc/PID/stat`, counted from the field after the program name.
const USER_TIME_FIELD_INDEX: usize = 11;

/// Resources used by a process since it started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// CPU time of all threads, user and system.
    pub(crate) cpu_time: Duration,
    /// Resident memory, in bytes.
    pub(crate) memory_bytes: u64,
}

impl Usage {
    /// Reads the resource usage of the process with this id.
    pub(crate) fn of(process: u32) -> Result<Self> {
        Ok(Self {
            cpu_time: cpu_time(process)?,
            memory_bytes: memory_bytes(process)?,
        })
    }
}

fn cpu_time(process: u32) -> Result<Duration> {
    let stat = read_to_string(format!("/proc/{process}/stat"))?;
    let (_, fields) = stat
        .rsplit_once(')')
        .context("/proc/PID/stat has no program name")?;
    let mut fields = fields.split_whitespace().skip(USER_TIME_FIELD_INDEX);
    let user: f64 = fields
        .next()
        .context("/proc/PID/stat has no user time")?
        .parse()?;
    let system: f64 = fields
        .next()
        .context("/proc/PID/stat has no system time")?
        .parse()?;
    Ok(Duration::from_secs_f64((user + system) / TICKS_PER_SECOND))
}

/// Reads the resident memory of a process, in bytes.
pub(crate) fn memory_bytes(process: u32) -> Result<u64> {
    let status = read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let line = line.context("/proc/PID/status has no VmRSS")?;
    let kilobytes = line
        .split_whitespace()
        .nth(1)
        .context("VmRSS has no value")?;
    Ok(kilobytes.parse::<u64>()? * 1024)
}
