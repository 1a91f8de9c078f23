//! Benchmarks that compare the product with its baselines.

mod arguments;
mod benches;
mod figure;
mod key_owner;
mod linear_fit;
mod pages;
mod placement_simulation;
mod policy_fleet;
mod report;
mod unavailability;
mod usage;

use std::process::ExitCode;

use anyhow::Result;

use crate::arguments::Arguments;
use crate::report::Report;

/// Exit code when a figure misses its target.
const EXIT_TARGET_MISSED: u8 = 1;

/// Exit code when the run fails.
const EXIT_FAILED: u8 = 2;

fn main() -> ExitCode {
    let arguments = match Arguments::parse() {
        Ok(arguments) => arguments,
        Err(error) => return report_error(&error),
    };
    match run(&arguments) {
        Ok(code) => code,
        Err(error) => report_error(&error),
    }
}

fn run(arguments: &Arguments) -> Result<ExitCode> {
    if arguments.name == "pages" {
        pages::write()?;
        return Ok(ExitCode::SUCCESS);
    }
    let report = benches::run(arguments)?;
    if arguments.save {
        pages::save(&report)?;
    }
    Ok(print_report(&report))
}

fn print_report(report: &Report) -> ExitCode {
    match serde_json::to_string(report) {
        Ok(line) => println!("{line}"),
        Err(error) => return report_error(&error.into()),
    }
    if report.meets_targets() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_TARGET_MISSED)
    }
}

fn report_error(error: &anyhow::Error) -> ExitCode {
    eprintln!("error: {error:#}");
    ExitCode::from(EXIT_FAILED)
}
