//! Command-line arguments.

use std::path::PathBuf;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;

/// Help text of the command line.
pub(crate) const USAGE: &str = "\
Usage: skylarkrudder --settings FILE [--check]

Options:
  --settings FILE  settings in JSON
  --check          check the settings and exit
  --help           print this help and exit
  --version        print the version and exit

Exit codes: 0 done, 1 failed, 2 arguments or settings refused.";

/// Parsed command line.
#[derive(Debug)]
pub(crate) enum Arguments {
    /// Prints help.
    Help,
    /// Runs the process, or only checks its settings.
    Run {
        /// Whether to check the settings only.
        check: bool,
        /// The settings file.
        settings: PathBuf,
    },
    /// Prints the version.
    Version,
}

impl Arguments {
    /// Parses the command line of the process.
    pub(crate) fn parse() -> Result<Self> {
        let mut arguments = pico_args::Arguments::from_env();
        if arguments.contains("--help") {
            return Ok(Self::Help);
        }
        if arguments.contains("--version") {
            return Ok(Self::Version);
        }
        let check = arguments.contains("--check");
        let settings = arguments
            .value_from_os_str("--settings", |path| {
                Ok::<_, std::convert::Infallible>(PathBuf::from(path))
            })
            .context("no settings: name a file with `--settings FILE`")?;
        if let Some(unknown) = arguments.finish().first() {
            bail!(
                "unknown argument `{}`: remove it",
                unknown.to_string_lossy()
            );
        }
        Ok(Self::Run { check, settings })
    }
}
