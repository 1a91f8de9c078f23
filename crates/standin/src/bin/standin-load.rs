//! Sends the load that a plan file describes, and prints a summary as JSON.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;

use anyhow::Context;
use pico_args::Arguments;
use standin::LoadPlan;

fn main() -> anyhow::Result<()> {
    let mut args = Arguments::from_env();
    let plan = args.value_from_str::<_, PathBuf>("--plan")?;
    let observations = args.opt_value_from_str::<_, PathBuf>("--observations")?;
    let rest = args.finish();
    anyhow::ensure!(rest.is_empty(), "remove the unknown arguments {rest:?}");
    let text = fs::read_to_string(&plan).with_context(|| format!("cannot read {plan:?}"))?;
    let plan = serde_json::from_str::<LoadPlan>(&text)
        .with_context(|| format!("{plan:?} is not a valid load plan"))?;
    let report = plan.run()?;
    if let Some(path) = observations {
        report
            .write(&path)
            .with_context(|| format!("cannot write {path:?}"))?;
    }
    let stream_workspaces = plan
        .streams
        .iter()
        .filter_map(|stream| stream.workspace.as_ref());
    let workspaces = stream_workspaces
        .collect::<BTreeSet<_>>()
        .into_iter()
        .map(|name| (name, report.workspace_summary(name)))
        .collect::<BTreeMap<_, _>>();
    let summary = serde_json::json!({ "all": report.summary(), "workspaces": workspaces });
    println!("{summary:#}");
    Ok(())
}
