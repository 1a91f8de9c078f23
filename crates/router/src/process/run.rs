//! Start-up and shutdown of the process.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use membership::Event;
use telemetry::LineWriter;
use telemetry::ProcessEvent;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

use crate::Environment;
use crate::Settings;
use crate::logging;
use crate::process::listeners::Listeners;
use crate::process::process_parts::ProcessParts;
use crate::process::settings_reloader::SettingsReloader;

/// Maximum time to wait for the last log lines to be written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Time allowed for the last replies to peers to be sent.
const REPLY_FLUSH_TIME: Duration = Duration::from_millis(50);

/// Runs the process until it has stopped gracefully. `path` is the file from which `settings` was read.
///
/// # Errors
///
/// Returns an error when the process cannot start, or does not stop in time.
pub fn run(settings: &Settings, path: &Path) -> Result<()> {
    start(settings, path, None)
}

/// Runs the process until it has stopped gracefully, with `environment` in place of this product's own interfaces.
///
/// # Errors
///
/// Returns an error when the process cannot start, or does not stop in time.
pub fn run_in(settings: &Settings, path: &Path, environment: Arc<dyn Environment>) -> Result<()> {
    start(settings, path, Some(environment))
}

fn start(
    settings: &Settings,
    path: &Path,
    environment: Option<Arc<dyn Environment>>,
) -> Result<()> {
    let line_writer = logging::start(settings)?;
    let threads = usize::try_from(settings.limits.traffic_threads)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .context("the traffic threads cannot be started")?;
    let result = runtime.block_on(serve(settings, path, environment, line_writer.clone()));
    line_writer.flush_within(LOG_FLUSH_TIMEOUT);
    result
}

async fn serve(
    settings: &Settings,
    path: &Path,
    environment: Option<Arc<dyn Environment>>,
    line_writer: LineWriter,
) -> Result<()> {
    let parts = ProcessParts::new(settings, environment, line_writer)?;
    let reloader = SettingsReloader::new(path.to_owned(), Arc::clone(&parts.shared))?;
    tokio::spawn(reloader.run());
    let listeners = Listeners::bind(settings)?;
    let stop = CancellationToken::new();
    let stopped = parts.stopped.clone();
    let shared = Arc::clone(&parts.shared);
    let control = parts.control.clone();
    let home = Arc::clone(&parts.home);
    let (serving, thread) = parts.start(settings, listeners, &stop)?;
    shared.log_event(ProcessEvent::Started {
        version: env!("CARGO_PKG_VERSION").to_owned(),
    });
    wait_for_signal().await?;
    shared.log_event(ProcessEvent::Stopping);
    shared.stop();
    control.send_event(Event::Stop);
    let deadline = tokio::time::Instant::now() + settings.limits.stop_timeout();
    let shutdown = async {
        stopped.cancelled().await;
        stop.cancel();
        serving.await?;
        home.wait_until_idle().await;
        tokio::time::sleep(REPLY_FLUSH_TIME).await;
        anyhow::Ok(())
    };
    let finished = tokio::time::timeout_at(deadline, shutdown).await;
    let graceful = matches!(finished, Ok(Ok(())));
    shared.log_event(ProcessEvent::Stopped { graceful });
    finished.context(
        "the graceful stop took longer than `limits.stop_timeout_ms`: requests may have been cut",
    )??;
    if thread.join().is_err() {
        anyhow::bail!("the control thread panicked: see the log above");
    }
    Ok(())
}

async fn wait_for_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
