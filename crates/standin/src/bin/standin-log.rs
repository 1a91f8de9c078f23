//! Runs the log stand-in as a process.

use std::net::SocketAddr;

use anyhow::Context;
use pico_args::Arguments;
use standin::LogOptions;
use standin::LogStandin;
use standin::wait_until_stopped;

fn main() -> anyhow::Result<()> {
    let mut args = Arguments::from_env();
    let until_input_ends = args.contains("--until-input-ends");
    let options = options(args)?;
    let log = LogStandin::start(&options)
        .context("cannot start the log stand-in: choose another address for `--listen`")?;
    println!("{}", serde_json::json!({ "listening": log.address() }));
    wait_until_stopped(until_input_ends);
    Ok(())
}

fn options(mut args: Arguments) -> anyhow::Result<LogOptions> {
    let mut options = LogOptions::default();
    if let Some(listen) = args.opt_value_from_str::<_, SocketAddr>("--listen")? {
        options.listen = listen;
    }
    options.retain = args.opt_value_from_str("--retain")?;
    options.appends_per_second = args.opt_value_from_str("--appends-per-second")?;
    for rewrite in args.values_from_str::<_, String>("--rewrite")? {
        let (from, to) = rewrite
            .split_once('=')
            .context("write `--rewrite` as FROM=TO")?;
        options.rewrites.insert(from.parse()?, to.parse()?);
    }
    let rest = args.finish();
    anyhow::ensure!(rest.is_empty(), "remove the unknown arguments {rest:?}");
    Ok(options)
}
