//! Runs the upstream stand-in as a process.

use anyhow::Context;
use pico_args::Arguments;
use standin::UpstreamOptions;
use standin::UpstreamStandin;
use standin::wait_until_stopped;

fn main() -> anyhow::Result<()> {
    let mut args = Arguments::from_env();
    let until_input_ends = args.contains("--until-input-ends");
    let options = options(args)?;
    let upstream = UpstreamStandin::start(&options).context(
        "cannot start the upstream stand-in: check `--listen`, `--control` and `--records`",
    )?;
    let started = serde_json::json!({
        "control": upstream.control(),
        "instance": upstream.instance(),
        "listening": upstream.address(),
    });
    println!("{started}");
    wait_until_stopped(until_input_ends);
    Ok(())
}

fn options(mut args: Arguments) -> anyhow::Result<UpstreamOptions> {
    let defaults = UpstreamOptions::default();
    let mut value = |name| args.opt_value_from_str::<_, String>(name);
    let options = UpstreamOptions {
        checks_orders: parse_or(value("--checks-orders")?, defaults.checks_orders)?,
        connections: parse_or(value("--connections")?, defaults.connections)?,
        control: parse_or(value("--control")?, defaults.control)?,
        home: value("--home")?.map(|text| text.parse()).transpose()?,
        listen: parse_or(value("--listen")?, defaults.listen)?,
        records: value("--records")?.map(Into::into),
        seed: parse_or(value("--seed")?, defaults.seed)?,
        service: value("--service")?.unwrap_or(defaults.service),
        slots: parse_or(value("--slots")?, defaults.slots)?,
        vm: value("--vm")?.unwrap_or(defaults.vm),
        warm_ms: parse_or(value("--warm-ms")?, defaults.warm_ms)?,
        work_ms: parse_or(value("--work-ms")?, defaults.work_ms)?,
        zone: value("--zone")?.unwrap_or(defaults.zone),
    };
    let rest = args.finish();
    anyhow::ensure!(rest.is_empty(), "remove the unknown arguments {rest:?}");
    Ok(options)
}

fn parse_or<T>(text: Option<String>, default: T) -> anyhow::Result<T>
where
    T: std::str::FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    text.map_or(Ok(default), |text| {
        text.parse()
            .with_context(|| format!("`{text}` is not a valid value for this option"))
    })
}
