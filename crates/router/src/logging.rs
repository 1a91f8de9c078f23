//! Set-up of logging. Each log line is a JSON object.

use std::fmt::Arguments;
use std::io::stdout;

use anyhow::Context;
use anyhow::Result;
use fern::Dispatch;
use fern::FormatCallback;
use log::Log;
use log::Record;
use serde::Serialize;
use telemetry::JSON_LINE_TARGET;
use telemetry::LineWriter;

use crate::Settings;
use crate::clock::unix_ms;

#[derive(Serialize)]
struct LogLine<'a> {
    time_unix_ms: u64,
    level: &'a str,
    target: &'a str,
    vm: &'a str,
    message: String,
}

/// Starts logging for the process, and returns the writer of log lines to standard output.
///
/// # Errors
///
/// Returns an error when the decision log cannot be opened, or logging has already been started.
pub(crate) fn start(settings: &Settings) -> Result<LineWriter> {
    let queue_lines = usize::try_from(settings.logging.queue_lines)?;
    let vm = settings.vm.clone();
    let writer = LineWriter::start(stdout(), queue_lines, vm.clone())?;
    let lines = Dispatch::new().filter(|metadata| metadata.target() == JSON_LINE_TARGET);
    let lines = match &settings.decision_log {
        Some(path) => {
            let file = fern::log_file(path).with_context(|| {
                format!(
                    "settings field `decision_log`: `{}` cannot be opened",
                    path.display()
                )
            })?;
            lines.chain(output(LineWriter::start(file, queue_lines, vm.clone())?))
        }
        None => lines.chain(output(writer.clone())),
    };
    let messages = Dispatch::new()
        .filter(|metadata| metadata.target() != JSON_LINE_TARGET)
        .format(move |cx, message, record| format_line(cx, message, record, &vm))
        .chain(output(writer.clone()));
    Dispatch::new()
        .level(settings.log_level)
        .level_for("hyper", log::LevelFilter::Warn)
        .level_for("ureq", log::LevelFilter::Warn)
        .level_for("ureq_proto", log::LevelFilter::Warn)
        .chain(lines)
        .chain(messages)
        .apply()
        .context("logging has already been started")?;
    Ok(writer)
}

fn output(writer: LineWriter) -> Box<dyn Log> {
    Box::new(writer)
}

fn format_line(cx: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>, vm: &str) {
    let line = LogLine {
        time_unix_ms: unix_ms(),
        level: record.level().as_str(),
        target: record.target(),
        vm,
        message: message.to_string(),
    };
    match serde_json::to_string(&line) {
        Ok(text) => cx.finish(format_args!("{text}")),
        Err(_) => cx.finish(format_args!("{{}}")),
    }
}
