//! Transport of HTTP over one TCP connection.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use ureq::Error;
use ureq::config::Config;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::LazyBuffers;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::Transport;

use crate::connection::Connection;

/// A TCP connection of [`crate::keep_alive_connector::KeepAliveConnector`], which is used for one call.
#[derive(Debug)]
pub(crate) struct KeepAliveTransport {
    buffers: LazyBuffers,
    connection: Arc<Connection>,
}

impl KeepAliveTransport {
    pub(crate) fn new(connection: Arc<Connection>, cfg: &Config) -> Self {
        Self {
            buffers: LazyBuffers::new(cfg.input_buffer_size(), cfg.output_buffer_size()),
            connection,
        }
    }
}

impl Transport for KeepAliveTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let time_limit = timeout.not_zero().map(|time_limit| *time_limit);
        self.connection.stream.set_write_timeout(time_limit)?;
        let output = &self.buffers.output()[..amount];
        (&self.connection.stream)
            .write_all(output)
            .map_err(|error| io_error(error, timeout))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let time_limit = timeout.not_zero().map(|time_limit| *time_limit);
        self.connection.stream.set_read_timeout(time_limit)?;
        let input = self.buffers.input_append_buf();
        let count = loop {
            match (&self.connection.stream).read(input) {
                Ok(count) => break count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(io_error(error, timeout)),
            }
        };
        self.connection.has_response.store(true, Ordering::Relaxed);
        self.buffers.input_appended(count);
        Ok(count > 0)
    }

    /// Connections are not pooled, so that none is asked for this.
    fn is_open(&mut self) -> bool {
        false
    }
}

/// Tells the time limit of a call from the failure of its connection, which may also be a time-out.
fn io_error(error: std::io::Error, timeout: NextTimeout) -> Error {
    match error.kind() {
        ErrorKind::WouldBlock => Error::Timeout(timeout.reason),
        _ => Error::Io(error),
    }
}
