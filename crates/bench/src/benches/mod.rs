//! Benchmarks, selected by name.

mod balance;
mod cold;
mod config;
mod control;
mod fair;
mod fold;
mod hop;
mod limits;
mod poison;
mod silent;
mod straggler;
mod takeover;
mod zone;

use anyhow::Result;
use anyhow::bail;

use crate::arguments::Arguments;
use crate::report::Report;

/// Names of all benchmarks, for the error on an unknown name.
const NAMES: &str = "balance, cold, config, control, fair, fold, hop, limits, poison, silent, straggler, takeover, zone";

/// Runs the benchmark selected on the command line.
pub(crate) fn run(arguments: &Arguments) -> Result<Report> {
    let seed = arguments.seed;
    match arguments.name.as_str() {
        "balance" => balance::run(seed),
        "cold" => cold::run(seed),
        "config" => config::run(seed),
        "control" => control::run(seed),
        "fair" => fair::run(seed),
        "fold" => fold::run(seed),
        "hop" => hop::run(seed),
        "limits" => limits::run(seed),
        "poison" => poison::run(seed),
        "silent" => silent::run(seed),
        "straggler" => straggler::run(seed),
        "takeover" => takeover::run(seed),
        "zone" => zone::run(seed),
        unknown => bail!("unknown benchmark `{unknown}`: use one of {NAMES}"),
    }
}
