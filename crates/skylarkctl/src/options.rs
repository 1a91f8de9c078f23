//! The command line.

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
use crate::command::Question;
use crate::failure::Failure;

/// Time to wait for an outcome, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// What an operator states to have checked before a member is declared lost.
const CHECKED: &str = "process-is-gone";

/// The command line.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) command: Command,
    pub(crate) daemon: Option<String>,
    pub(crate) logs: Vec<String>,
    pub(crate) timeout: Duration,
    pub(crate) unknown_is_fine: bool,
    pub(crate) writer: String,
}

impl Options {
    pub(crate) fn parse(mut args: Arguments) -> Result<Self, Failure> {
        let is_help = args.contains(["-h", "--help"]);
        let is_version = args.contains(["-V", "--version"]);
        let timeout_ms = option(&mut args, "--timeout-ms")?.unwrap_or(DEFAULT_TIMEOUT_MS);
        let mut options = Self {
            command: Command::Help,
            daemon: option(&mut args, "--daemon")?,
            logs: args.values_from_str("--log").map_err(usage)?,
            timeout: Duration::from_millis(timeout_ms),
            unknown_is_fine: args.contains("--unknown-is-fine"),
            writer: option(&mut args, "--writer")?.unwrap_or_else(user),
        };
        if is_version {
            options.command = Command::Version;
        } else if !is_help {
            options.command = command(&mut args)?;
            no_more(args)?;
        }
        Ok(options)
    }
}

fn command(args: &mut Arguments) -> Result<Command, Failure> {
    let name = args.subcommand().map_err(usage)?.unwrap_or_default();
    match name.as_str() {
        "declare-lost" => declare_lost(args).map(Command::UseLog),
        "explain" => explain(args),
        "key" => key(args).map(Command::UseLog),
        "owner" => Ok(Command::Ask(Question::Owner {
            service: word(args, "SERVICE")?,
            key: word(args, "KEY")?,
        })),
        "publish" => publish(args).map(Command::UseLog),
        "quarantine" => quarantine(args).map(Command::UseLog),
        "show" => Ok(Command::UseLog(LogCommand::Show { kind: kind(args)? })),
        "status" => Ok(Command::Ask(Question::Status)),
        "upstream" => Ok(Command::UseLog(LogCommand::Upstream {
            drained: one_of(args, "drain", "return")?,
            vm: word(args, "VM")?,
        })),
        "zone" => Ok(Command::UseLog(LogCommand::Zone {
            out: one_of(args, "out", "in")?,
            zone: word(args, "NAME")?,
        })),
        "" => Err(Failure::Usage("no command".to_owned())),
        other => Err(Failure::Usage(format!("`{other}` is not a command"))),
    }
}

fn declare_lost(args: &mut Arguments) -> Result<LogCommand, Failure> {
    let checked: Option<String> = option(args, "--i-checked")?;
    let vm = word(args, "VM")?;
    if checked.as_deref() != Some(CHECKED) {
        return Err(Failure::Unchecked { vm });
    }
    Ok(LogCommand::DeclareLost { vm })
}

/// Reads what `explain` takes. Without files, a process is asked.
fn explain(args: &mut Arguments) -> Result<Command, Failure> {
    let request_id = word(args, "REQUEST-ID")?;
    let mut files = Vec::new();
    while let Some(file) = args.opt_free_from_str::<PathBuf>().map_err(usage)? {
        files.push(file);
    }
    if files.is_empty() {
        return Ok(Command::Ask(Question::Explain { request_id }));
    }
    Ok(Command::Explain { request_id, files })
}

fn key(args: &mut Arguments) -> Result<LogCommand, Failure> {
    let hash: Option<String> = option(args, "--hash")?;
    if one_of(args, "issue", "withdraw")? {
        let workspace = word(args, "WORKSPACE")?;
        return Ok(LogCommand::IssueKey { workspace });
    }
    let hash = match hash {
        Some(text) => KeyHash::from_hex(&text).ok_or_else(|| {
            Failure::Usage("--hash takes 64 hexadecimal digits in lower case".to_owned())
        })?,
        None => KeyHash::of(&word(args, "KEY")?),
    };
    Ok(LogCommand::WithdrawKey { hash })
}

fn publish(args: &mut Arguments) -> Result<LogCommand, Failure> {
    let base: Option<Offset> = option(args, "--base")?;
    let kind = kind(args)?;
    let file = PathBuf::from(word(args, "FILE")?);
    Ok(LogCommand::Publish { kind, file, base })
}

fn quarantine(args: &mut Arguments) -> Result<LogCommand, Failure> {
    if one_of(args, "list", "clear")? {
        return Ok(LogCommand::QuarantineList);
    }
    let fingerprint = word(args, "FINGERPRINT")?;
    Ok(LogCommand::QuarantineClear { fingerprint })
}

fn kind(args: &mut Arguments) -> Result<DocumentKind, Failure> {
    if one_of(args, "plans", "workspaces")? {
        Ok(DocumentKind::Plans)
    } else {
        Ok(DocumentKind::Workspaces)
    }
}

/// Reads a word that is `first` or `second`, and tells whether it is `first`.
fn one_of(args: &mut Arguments, first: &str, second: &str) -> Result<bool, Failure> {
    let expected = format!("{first}|{second}");
    let found = word(args, &expected)?;
    if found != first && found != second {
        return Err(Failure::Usage(format!("`{found}` is not {expected}")));
    }
    Ok(found == first)
}

fn word(args: &mut Arguments, name: &str) -> Result<String, Failure> {
    let found: Option<String> = args.opt_free_from_str().map_err(usage)?;
    found
        .filter(|word| !word.is_empty())
        .ok_or_else(|| Failure::Usage(format!("{name} is missing")))
}

fn option<T: FromStr>(args: &mut Arguments, name: &'static str) -> Result<Option<T>, Failure>
where
    T::Err: std::fmt::Display,
{
    args.opt_value_from_str(name)
        .map_err(|error| Failure::Usage(format!("{name}: {error}")))
}

fn no_more(args: Arguments) -> Result<(), Failure> {
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
fn usage(error: pico_args::Error) -> Failure {
    Failure::Usage(error.to_string())
}

fn user() -> String {
    std::env::var("USER").unwrap_or_else(|_| "operator".to_owned())
}
