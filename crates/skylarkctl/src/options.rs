//! Command-line parsing.

use std::ffi::OsString;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use config::KeyHash;
use ids::Offset;
use pico_args::Arguments;

use crate::command::Command;
use crate::command::DocumentKind;
use crate::command::LogCommand;
use crate::command::Query;
use crate::failure::Failure;

/// Default time to wait for an outcome, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// Value of `--i-checked` with which an operator confirms that the process of a lost member has ended.
const LOST_CONFIRMATION: &str = "process-is-gone";

/// A parsed command line.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) command: Command,
    pub(crate) daemon: Option<String>,
    pub(crate) log_urls: Vec<String>,
    pub(crate) timeout: Duration,
    pub(crate) allow_unknown: bool,
    pub(crate) writer: String,
}

impl Options {
    pub(crate) fn parse(mut args: Arguments) -> Result<Self, Failure> {
        let is_help = args.contains(["-h", "--help"]);
        let is_version = args.contains(["-V", "--version"]);
        let timeout_ms = parse_option(&mut args, "--timeout-ms")?.unwrap_or(DEFAULT_TIMEOUT_MS);
        let mut options = Self {
            command: Command::Help,
            daemon: parse_option(&mut args, "--daemon")?,
            log_urls: args.values_from_str("--log").map_err(usage_error)?,
            timeout: Duration::from_millis(timeout_ms),
            allow_unknown: args.contains("--unknown-is-fine"),
            writer: parse_option(&mut args, "--writer")?.unwrap_or_else(default_writer),
        };
        if is_version {
            options.command = Command::Version;
        } else if !is_help {
            options.command = parse_command(&mut args)?;
            check_no_arguments_left(args)?;
        }
        Ok(options)
    }
}

fn parse_command(args: &mut Arguments) -> Result<Command, Failure> {
    let name = args.subcommand().map_err(usage_error)?.unwrap_or_default();
    match name.as_str() {
        "declare-lost" => parse_declare_lost(args).map(Command::Log),
        "explain" => parse_explain(args),
        "key" => parse_key(args).map(Command::Log),
        "owner" => Ok(Command::Query(Query::Owner {
            service: parse_word(args, "SERVICE")?,
            key: parse_word(args, "KEY")?,
        })),
        "publish" => parse_publish(args).map(Command::Log),
        "quarantine" => parse_quarantine(args).map(Command::Log),
        "rollouts" => Ok(Command::Query(Query::Rollouts)),
        "show" => Ok(Command::Log(LogCommand::Show {
            kind: parse_kind(args)?,
        })),
        "status" => Ok(Command::Query(Query::Status)),
        "upstream" => Ok(Command::Log(LogCommand::SetUpstream {
            drained: parse_choice(args, "drain", "return")?,
            vm: parse_word(args, "VM")?,
        })),
        "zone" => Ok(Command::Log(LogCommand::SetZone {
            out: parse_choice(args, "out", "in")?,
            zone: parse_word(args, "NAME")?,
        })),
        "" => Err(Failure::Usage("no command".to_owned())),
        other => Err(Failure::Usage(format!("`{other}` is not a command"))),
    }
}

fn parse_declare_lost(args: &mut Arguments) -> Result<LogCommand, Failure> {
    let checked: Option<String> = parse_option(args, "--i-checked")?;
    let vm = parse_word(args, "VM")?;
    if checked.as_deref() != Some(LOST_CONFIRMATION) {
        return Err(Failure::Unconfirmed { vm });
    }
    Ok(LogCommand::DeclareLost { vm })
}

/// Parses the arguments of `explain`, which queries a process if no files are given.
fn parse_explain(args: &mut Arguments) -> Result<Command, Failure> {
    let request_id = parse_word(args, "REQUEST-ID")?;
    let mut files = Vec::new();
    while let Some(file) = args.opt_free_from_str::<PathBuf>().map_err(usage_error)? {
        files.push(file);
    }
    if files.is_empty() {
        return Ok(Command::Query(Query::Explain { request_id }));
    }
    Ok(Command::Explain { request_id, files })
}

fn parse_key(args: &mut Arguments) -> Result<LogCommand, Failure> {
    let hash: Option<String> = parse_option(args, "--hash")?;
    if parse_choice(args, "issue", "withdraw")? {
        let workspace = parse_word(args, "WORKSPACE")?;
        return Ok(LogCommand::IssueKey { workspace });
    }
    let hash = match hash {
        Some(text) => KeyHash::from_hex(&text).ok_or_else(|| {
            Failure::Usage("--hash takes 64 hexadecimal digits in lower case".to_owned())
        })?,
        None => KeyHash::of(&parse_word(args, "KEY")?),
    };
    Ok(LogCommand::WithdrawKey { hash })
}

fn parse_publish(args: &mut Arguments) -> Result<LogCommand, Failure> {
    let base: Option<Offset> = parse_option(args, "--base")?;
    let kind = parse_kind(args)?;
    let file = PathBuf::from(parse_word(args, "FILE")?);
    Ok(LogCommand::Publish { kind, file, base })
}

fn parse_quarantine(args: &mut Arguments) -> Result<LogCommand, Failure> {
    if parse_choice(args, "list", "clear")? {
        return Ok(LogCommand::ListQuarantine);
    }
    let fingerprint = parse_word(args, "FINGERPRINT")?;
    Ok(LogCommand::ClearQuarantine { fingerprint })
}

fn parse_kind(args: &mut Arguments) -> Result<DocumentKind, Failure> {
    if parse_choice(args, "plans", "workspaces")? {
        Ok(DocumentKind::Plans)
    } else {
        Ok(DocumentKind::Workspaces)
    }
}

/// Parses an argument that must be `first` or `second`, and reports whether it is `first`.
fn parse_choice(args: &mut Arguments, first: &str, second: &str) -> Result<bool, Failure> {
    let expected = format!("{first}|{second}");
    let found = parse_word(args, &expected)?;
    if found != first && found != second {
        return Err(Failure::Usage(format!("`{found}` is not {expected}")));
    }
    Ok(found == first)
}

fn parse_word(args: &mut Arguments, name: &str) -> Result<String, Failure> {
    let found: Option<String> = args.opt_free_from_str().map_err(usage_error)?;
    found
        .filter(|word| !word.is_empty())
        .ok_or_else(|| Failure::Usage(format!("{name} is missing")))
}

fn parse_option<T: FromStr>(args: &mut Arguments, name: &'static str) -> Result<Option<T>, Failure>
where
    T::Err: std::fmt::Display,
{
    args.opt_value_from_str(name)
        .map_err(|error| Failure::Usage(format!("{name}: {error}")))
}

fn check_no_arguments_left(args: Arguments) -> Result<(), Failure> {
    let rest: Vec<OsString> = args.finish();
    match rest.first() {
        None => Ok(()),
        Some(word) => Err(Failure::Usage(format!(
            "`{}` is not expected here",
            word.display()
        ))),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the signature suits Result::map_err"
)]
fn usage_error(error: pico_args::Error) -> Failure {
    Failure::Usage(error.to_string())
}

fn default_writer() -> String {
    std::env::var("USER").unwrap_or_else(|_| "operator".to_owned())
}
