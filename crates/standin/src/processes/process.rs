//! A process of a fleet.

use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A child process that is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Exit status, once the process has exited and been reaped.
    status: Option<ExitStatus>,
}

impl Process {
    /// Starts a program that appends its output to a file. Its standard input is a pipe, which closes when this process
    /// exits.
    pub(crate) fn start(program: &Path, args: &[String], output: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(output)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()?;
        Ok(Self {
            child,
            status: None,
        })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with `SIGKILL`, as when a VM is lost, and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the process cannot be waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        if self.exit_status()?.is_none() {
            self.child.kill()?;
            self.status = Some(self.child.wait()?);
        }
        Ok(())
    }

    /// Suspends the process with `SIGSTOP`, as when a VM is paused.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the process has exited.
    pub fn freeze(&mut self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a frozen process with `SIGCONT`.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the process has exited.
    pub fn thaw(&mut self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Requests a graceful shutdown with `SIGTERM`.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the process has exited.
    pub fn terminate(&mut self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Returns the exit status, or `None` while the process is running.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the process cannot be waited for.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        if self.status.is_none() {
            self.status = self.child.try_wait()?;
        }
        Ok(self.status)
    }

    /// Waits for the process to exit, and returns `None` when it is still running after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the process cannot be waited for.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.exit_status()?;
            if status.is_some() || Instant::now() >= deadline {
                return Ok(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a signal, unless the process has been reaped, because another process may have its id by then.
    fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.exit_status()?.is_some() {
            return Err(io::ErrorKind::NotFound.into());
        }
        kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that cannot be killed has already exited.
        let _ = self.kill();
    }
}
