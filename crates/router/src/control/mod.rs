//! The control thread: membership, ownership and configuration.

mod control_loop;
mod control_message;
mod control_telemetry;
mod datagram_socket;
mod incoming_datagram;
mod load_exchange;
mod log_reader;
mod log_writer;
mod trace_writer;
mod unconfirmed_appends;
mod upstream_control;

pub(crate) use control_loop::ControlLoop;
pub(crate) use control_loop::ControlParts;
pub(crate) use control_message::ControlMessage;
pub(crate) use control_message::ControlSender;
pub(crate) use datagram_socket::DatagramSocket;
pub(crate) use incoming_datagram::IncomingDatagram;
pub(crate) use log_reader::LogReader;
pub(crate) use log_writer::LogWriter;
pub(crate) use trace_writer::TraceWriter;
pub(crate) use upstream_control::UpstreamControl;
