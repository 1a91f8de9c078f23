//! Running a command.

use std::ffi::OsString;
use std::time::Duration;

use pico_args::Arguments;
use records::Log;
use serde_json::json;

use crate::Output;
use crate::command::Command;
use crate::command::LogCommand;
use crate::command::Question;
use crate::daemon::Daemon;
use crate::explain::Account;
use crate::failure::Failure;
use crate::folded_log::FoldedLog;
use crate::help::HELP;
use crate::keys;
use crate::options::Options;
use crate::publication;
use crate::quarantine;
use crate::report::Report;
use crate::switches;

/// Longest time for one request to the log or a process.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Makes a client of the log from its addresses and the time for one request.
type Connect<'a> = &'a dyn Fn(Vec<String>, Duration) -> Box<dyn Log>;

/// Runs the command that `args`, without the name of the program, ask for.
pub fn run(args: Vec<OsString>, connect: Connect<'_>) -> Output {
    let mut args = Arguments::from_vec(args);
    let is_json = args.contains("--json");
    let result = Options::parse(args).and_then(|options| execute(&options, connect));
    match result {
        Ok(report) => done(&report, is_json),
        Err(failure) => failed(&failure, is_json),
    }
}

fn done(report: &Report, is_json: bool) -> Output {
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

fn failed(failure: &Failure, is_json: bool) -> Output {
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

fn execute(options: &Options, connect: Connect<'_>) -> Result<Report, Failure> {
    match &options.command {
        Command::Ask(question) => ask(&daemon(options)?, question),
        Command::Explain { request_id, files } => Ok(Report::Account {
            account: Account::read(request_id, files)?,
        }),
        Command::Help => Ok(Report::Text {
            text: HELP.to_owned(),
        }),
        Command::UseLog(command) => use_log(command.clone(), options, connect),
        Command::Version => Ok(Report::Text {
            text: format!("skylarkctl {}\n", env!("CARGO_PKG_VERSION")),
        }),
    }
}

fn ask(daemon: &Daemon<'_>, question: &Question) -> Result<Report, Failure> {
    match question {
        Question::Explain { request_id } => Ok(Report::Answer {
            answer: daemon.explain(request_id)?,
        }),
        Question::Owner { service, key } => Ok(Report::Answer {
            answer: daemon.owner(service, key)?,
        }),
        Question::Status => Ok(Report::Status {
            status: daemon.status()?,
        }),
    }
}

fn use_log(
    command: LogCommand,
    options: &Options,
    connect: Connect<'_>,
) -> Result<Report, Failure> {
    if options.logs.is_empty() {
        return Err(Failure::Usage("--log URL is missing".to_owned()));
    }
    if let LogCommand::Publish { kind, file, .. } = &command {
        publication::check_file(file, *kind)?;
    }
    let log = connect(options.logs.clone(), options.timeout.min(REQUEST_TIMEOUT));
    let folded = &mut FoldedLog::read(&*log)?;
    match command {
        LogCommand::DeclareLost { vm } => switches::declare_lost(folded, vm, options),
        LogCommand::IssueKey { workspace } => keys::issue(folded, workspace, options),
        LogCommand::Publish { kind, file, base } => {
            publication::publish(folded, kind, &file, base, options)
        }
        LogCommand::QuarantineClear { fingerprint } => {
            quarantine::clear(folded, fingerprint, options)
        }
        LogCommand::QuarantineList => Ok(quarantine::list(folded)),
        LogCommand::Show { kind } => Ok(publication::show(folded, kind)),
        LogCommand::Upstream { vm, drained } => {
            switches::set_upstream(folded, vm, drained, options)
        }
        LogCommand::WithdrawKey { hash } => keys::withdraw(folded, hash, options),
        LogCommand::Zone { zone, out } => switches::set_zone(folded, zone, out, options),
    }
}

fn daemon(options: &Options) -> Result<Daemon<'_>, Failure> {
    let address = options
        .daemon
        .as_deref()
        .ok_or_else(|| Failure::Usage("--daemon ADDRESS is missing".to_owned()))?;
    Ok(Daemon {
        address,
        timeout: options.timeout.min(REQUEST_TIMEOUT),
    })
}
