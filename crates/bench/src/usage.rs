//! What a process uses of the machine.

use std::fs::read_to_string;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;

/// Clock ticks in a second, as the kernel counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Place of the user time in `/proc/PID/stat`, counted behind the name of the program.
const USER_TIME_FIELD_INDEX: usize = 11;

/// What a process has used so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// Processor time of all threads.
    pub(crate) cpu_time: Duration,
    /// Resident memory, in bytes.
    pub(crate) memory_bytes: u64,
}

impl Usage {
    /// Reads what the process with this id has used.
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
        .context("/proc/PID/stat names no program")?;
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

/// Returns the resident memory of a process, in bytes.
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
