//! The process beside each upstream.

mod arguments;

use std::process::ExitCode;

use crate::arguments::Arguments;
use crate::arguments::USAGE;

/// Exit code for arguments or settings that were refused.
const REFUSED: u8 = 2;

fn main() -> ExitCode {
    match Arguments::parse() {
        Ok(Arguments::Help) => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
        Ok(Arguments::Run { check, settings }) => start(&settings, check),
        Ok(Arguments::Version) => {
            println!("skylarkrudder {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Err(error) => refuse(&format!("{error:#}\n\n{USAGE}")),
    }
}

fn start(path: &std::path::Path, check: bool) -> ExitCode {
    let settings = match router::Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => return refuse(&error.to_string()),
    };
    if check {
        println!("settings file `{}` is valid", path.display());
        return ExitCode::SUCCESS;
    }
    match router::run(&settings, path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn refuse(message: &str) -> ExitCode {
    eprintln!("error: {message}");
    ExitCode::from(REFUSED)
}
