//! Starts a complete fleet and sends sample requests to it. `scripts/quickstart` runs this program.

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let samples = std::env::args_os().nth(1).map(PathBuf::from);
    let Some(samples) = samples else {
        eprintln!("usage: standin-quickstart FOLDER_WITH_SAMPLES");
        return ExitCode::from(2);
    };
    match standin::quickstart(&samples) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
