//! The control thread: membership, ownership and configuration.

mod control_telemetry;
mod control_thread;
mod datagrams;
mod fleet_copy;
mod heard;
mod input;
mod load_exchange;
mod log_reader;
mod log_writer;
mod recorder;
mod upstream_control;

pub(crate) use control_thread::Control;
pub(crate) use control_thread::ControlParts;
pub(crate) use datagrams::Datagrams;
pub(crate) use heard::Heard;
pub(crate) use input::ControlSender;
pub(crate) use input::Input;
pub(crate) use log_reader::LogReader;
pub(crate) use log_writer::LogWriter;
pub(crate) use recorder::Recorder;
pub(crate) use upstream_control::UpstreamControl;
