//! Execution of commands.

use std::ffi::OsString;
use std::time::Duration;

use pico_args::Arguments;
use records::Log;
use serde_json::json;

use crate::Output;
use crate::command::Command;
use crate::command::LogCommand;
use crate::command::Query;
use crate::daemon_client::DaemonClient;
use crate::documents;
use crate::explain::RequestTrace;
use crate::failure::Failure;
use crate::folded_log::FoldedLog;
use crate::help::HELP;
use crate::keys;
use crate::options::Options;
use crate::quarantine;
use crate::report::Report;
use crate::service_state;

/// Maximum time for one request to the log or a process.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Creates a client of the log from its addresses and the timeout of one request.
type ConnectLog<'a> = &'a dyn Fn(Vec<String>, Duration) -> Box<dyn Log>;

/// Runs the command in `args`, which exclude the name of the program.
pub fn run(args: Vec<OsString>, connect: ConnectLog<'_>) -> Output {
    let mut args = Arguments::from_vec(args);
    let is_json = args.contains("--json");
    let result = Options::parse(args).and_then(|options| execute(&options, connect));
    match result {
        Ok(report) => format_report(&report, is_json),
        Err(failure) => format_failure(&failure, is_json),
    }
}

fn format_report(report: &Report, is_json: bool) -> Output {
    let stdout = if is_json {
        format!("{}\n", json!(report))
    } else {
        report.to_string()
    };
    Output {
        exit_code: 0,
        stderr: String::new(),
        stdout,
    }
}

fn format_failure(failure: &Failure, is_json: bool) -> Output {
    let exit_code = failure.exit_code();
    let message = failure.to_string();
    let (stdout, stderr) = if is_json {
        let report = json!({ "result": "failed", "error": message, "exit_code": exit_code });
        (format!("{report}\n"), String::new())
    } else {
        (String::new(), format!("skylarkctl: {message}\n"))
    };
    Output {
        exit_code,
        stderr,
        stdout,
    }
}

fn execute(options: &Options, connect: ConnectLog<'_>) -> Result<Report, Failure> {
    match &options.command {
        Command::Query(query) => query_daemon(&daemon_client(options)?, query),
        Command::Explain { request_id, files } => Ok(Report::RequestTrace {
            trace: RequestTrace::read(request_id, files)?,
        }),
        Command::Help => Ok(Report::Text {
            text: HELP.to_owned(),
        }),
        Command::Log(command) => run_log_command(command.clone(), options, connect),
        Command::Version => Ok(Report::Text {
            text: format!("skylarkctl {}\n", env!("CARGO_PKG_VERSION")),
        }),
    }
}

fn query_daemon(daemon: &DaemonClient<'_>, query: &Query) -> Result<Report, Failure> {
    match query {
        Query::Explain { request_id } => Ok(Report::Answer {
            answer: daemon.explain(request_id)?,
        }),
        Query::Owner { service, key } => Ok(Report::Answer {
            answer: daemon.owner(service, key)?,
        }),
        Query::Rollouts => Ok(Report::Rollouts {
            rollouts: daemon.status()?["rollouts"].take(),
        }),
        Query::Status => Ok(Report::Status {
            status: daemon.status()?,
        }),
    }
}

fn run_log_command(
    command: LogCommand,
    options: &Options,
    connect: ConnectLog<'_>,
) -> Result<Report, Failure> {
    if options.log_urls.is_empty() {
        return Err(Failure::Usage("--log URL is missing".to_owned()));
    }
    if let LogCommand::Publish { kind, file, .. } = &command {
        documents::check_file(file, *kind)?;
    }
    let log = connect(
        options.log_urls.clone(),
        options.timeout.min(REQUEST_TIMEOUT),
    );
    let folded = &mut FoldedLog::read(&*log)?;
    match command {
        LogCommand::DeclareLost { vm } => service_state::declare_lost(folded, vm, options),
        LogCommand::IssueKey { workspace } => keys::issue(folded, workspace, options),
        LogCommand::Publish { kind, file, base } => {
            documents::publish(folded, kind, &file, base, options)
        }
        LogCommand::ClearQuarantine { fingerprint } => {
            quarantine::clear(folded, fingerprint, options)
        }
        LogCommand::ListQuarantine => Ok(quarantine::list(folded)),
        LogCommand::Show { kind } => Ok(documents::show(folded, kind)),
        LogCommand::SetUpstream { vm, drained } => {
            service_state::set_upstream(folded, vm, drained, options)
        }
        LogCommand::WithdrawKey { hash } => keys::withdraw(folded, hash, options),
        LogCommand::SetZone { zone, out } => service_state::set_zone(folded, zone, out, options),
    }
}

fn daemon_client(options: &Options) -> Result<DaemonClient<'_>, Failure> {
    let address = options
        .daemon
        .as_deref()
        .ok_or_else(|| Failure::Usage("--daemon ADDRESS is missing".to_owned()))?;
    Ok(DaemonClient {
        address,
        timeout: options.timeout.min(REQUEST_TIMEOUT),
    })
}
