//! The router process that runs beside each upstream.

mod arguments;

use std::process::ExitCode;

use crate::arguments::Arguments;
use crate::arguments::USAGE;

/// Exit code for invalid arguments or settings.
const EXIT_INVALID_USAGE: u8 = 2;

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
        Err(error) => report_usage_error(&format!("{error:#}\n\n{USAGE}")),
    }
}

fn start(path: &std::path::Path, check: bool) -> ExitCode {
    let settings = match router::Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => return report_usage_error(&error.to_string()),
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

fn report_usage_error(message: &str) -> ExitCode {
    eprintln!("error: {message}");
    ExitCode::from(EXIT_INVALID_USAGE)
}
