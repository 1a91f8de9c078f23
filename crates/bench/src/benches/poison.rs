//! Containment of poison requests, which crash every upstream that executes them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use anyhow::Result;
use standin::ExecutionOutcome;
use standin::Fleet;
use standin::POISON_MARKER;

use crate::figure::Figure;
use crate::policy_fleet::KEYED_SERVICE;
use crate::policy_fleet::KEYLESS_SERVICE;
use crate::policy_fleet::collective_fleet;
use crate::policy_fleet::join_load;
use crate::policy_fleet::load_plan;
use crate::policy_fleet::spawn_load;
use crate::policy_fleet::start_warmed_up;
use crate::policy_fleet::with_unlimited_workspaces;
use crate::policy_fleet::workspace_streams;
use crate::report::Report;

/// Requests per second of other callers to each service.
const REQUESTS_PER_SECOND: f64 = 60.0;

/// Duration of the load of other callers.
const LOAD_DURATION: Duration = Duration::from_secs(30);

/// Time-out of a caller that waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of different poison requests.
const POISON_REQUESTS: u32 = 3;

/// Number of times that each poison request is sent through each entry.
const REPETITIONS: u32 = 3;

/// Limit of the number of upstreams that one poison request crashes.
const MAX_CRASHED_UPSTREAMS: f64 = 2.0;

/// Runs the `poison` benchmark, which counts the upstreams crashed by each poison request.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let fleet = start_warmed_up(with_unlimited_workspaces(collective_fleet(10)))?;
    let mut streams = workspace_streams(KEYED_SERVICE, REQUESTS_PER_SECOND);
    streams.extend(workspace_streams(KEYLESS_SERVICE, REQUESTS_PER_SECOND));
    let load = spawn_load(load_plan(&fleet, seed, LOAD_DURATION, streams));
    for poison in 0..POISON_REQUESTS {
        for _ in 0..REPETITIONS {
            send_poison(&fleet, poison)?;
        }
    }
    let report = join_load(load)?;
    let crashes = crashed_instances(&fleet)?;
    let most = crashes.values().map(BTreeSet::len).max().unwrap_or(0);
    let fewest = crashes.values().map(BTreeSet::len).min().unwrap_or(0);
    let summary = report.summary();
    let answered = 100.0 * summary.acknowledged as f64 / summary.sent.max(1) as f64;
    let figures = vec![
        Figure::new(
            "upstreams crashed by one poison request, most",
            "1",
            most as f64,
        )
        .at_most(MAX_CRASHED_UPSTREAMS),
        Figure::new(
            "upstreams crashed by one poison request, fewest",
            "1",
            fewest as f64,
        ),
        Figure::new(
            "poison requests that crashed an upstream",
            "1",
            crashes.len() as f64,
        )
        .at_least(f64::from(POISON_REQUESTS)),
        Figure::new("requests of others answered", "%", answered),
    ];
    Ok(Report::new("poison", seed, figures))
}

/// Sends the poison request with this number through every entry. The same number gives the same request.
fn send_poison(fleet: &Fleet, poison: u32) -> Result<()> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(ANSWER_TIMEOUT))
        .build()
        .into();
    for entry in fleet.entries() {
        // Any answer or error is accepted: only crashes are counted.
        let _ = agent
            .post(format!("http://{entry}/{KEYED_SERVICE}/orders"))
            .header("authorization", "Bearer key-large-1")
            .header("skylark-key", poison_key(poison))
            .send(format!("{POISON_MARKER}-{poison}"));
    }
    Ok(())
}

fn poison_key(poison: u32) -> String {
    format!("poison-{poison}")
}

/// Returns the incarnations of upstreams that each poison request crashed, by the key of the request.
fn crashed_instances(fleet: &Fleet) -> Result<BTreeMap<String, BTreeSet<String>>> {
    let mut crashes = BTreeMap::<String, BTreeSet<String>>::new();
    for execution in fleet.executions()? {
        let key = execution.key.unwrap_or_default();
        let is_poison = (0..POISON_REQUESTS).any(|poison| poison_key(poison) == key);
        if is_poison && execution.outcome == ExecutionOutcome::Crashed {
            crashes.entry(key).or_default().insert(execution.instance);
        }
    }
    Ok(crashes)
}
