//! Checks recorded traces, prints every violation as a line of JSON, and exits with 1 if there are any.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use pico_args::Arguments;
use standin::Trace;
use standin::TraceFacts;
use standin::read_executions;
use standin::read_observations;

fn main() -> anyhow::Result<ExitCode> {
    let trace = read_trace(Arguments::from_env())?;
    let violations = trace.check();
    for violation in &violations {
        println!("{violation}");
    }
    Ok(ExitCode::from(u8::from(!violations.is_empty())))
}

fn read_trace(mut args: Arguments) -> anyhow::Result<Trace> {
    let executions = args.values_from_str::<_, PathBuf>("--executions")?;
    let observations = args.value_from_str::<_, PathBuf>("--observations")?;
    let facts = args.opt_value_from_str::<_, PathBuf>("--facts")?;
    let rest = args.finish();
    anyhow::ensure!(rest.is_empty(), "remove the unknown arguments {rest:?}");
    let mut trace = Trace::default();
    for path in executions {
        let read = read_executions(&path)
            .with_context(|| format!("cannot read executions from {path:?}"))?;
        trace.executions.extend(read);
    }
    trace.observations = read_observations(&observations)
        .with_context(|| format!("cannot read observations from {observations:?}"))?;
    if let Some(path) = facts {
        let text = fs::read_to_string(&path).with_context(|| format!("cannot read {path:?}"))?;
        trace.facts = serde_json::from_str::<TraceFacts>(&text)
            .with_context(|| format!("{path:?} is not a valid file of trace facts"))?;
    }
    Ok(trace)
}
