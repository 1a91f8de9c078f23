//! Command-line arguments.

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;

/// Usage text, shown when the benchmark name is missing.
const USAGE: &str = "\
Usage: skylark-bench NAME [--seed N] [--save]
       skylark-bench pages

The last line of output is one JSON object, which --save also writes to docs/results. `pages` generates
docs/MEASURES.md, the table of docs/CAPACITY.md, and the plots from the saved results.
Exit codes: 0 all targets met, 1 a target missed, 2 the run failed.";

/// Seed when `--seed` is absent.
const DEFAULT_SEED: u64 = 1;

/// Parsed command-line arguments.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    /// Name of the benchmark, or `pages`.
    pub(crate) name: String,
    /// Whether the result is written to `docs/results`.
    pub(crate) save: bool,
    pub(crate) seed: u64,
}

impl Arguments {
    /// Parses the command line of this process.
    pub(crate) fn parse() -> Result<Self> {
        let mut arguments = pico_args::Arguments::from_env();
        let seed = arguments.opt_value_from_str("--seed")?;
        let save = arguments.contains("--save");
        let name = arguments.free_from_str::<String>().context(USAGE)?;
        if let Some(unknown) = arguments.finish().first() {
            bail!(
                "unknown argument `{}`: remove it",
                unknown.to_string_lossy()
            );
        }
        Ok(Self {
            name,
            save,
            seed: seed.unwrap_or(DEFAULT_SEED),
        })
    }
}
