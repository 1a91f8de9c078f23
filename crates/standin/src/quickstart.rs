//! A whole fleet at work, for newcomers.

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use ureq::Agent;
use ureq::http::Request;
use ureq::http::Response;

use crate::EchoedAnswer;
use crate::Fleet;
use crate::ServiceKind;

/// Time that the fleet has to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Keys that requests ask for.
const KEYS: [&str; 3] = ["sandalwood", "jasmine", "lemon-myrtle"];

/// Starts a fleet, publishes the sample configuration, and sends requests through every entry.
///
/// # Errors
///
/// Returns what could not be started, or which answer was wrong.
pub fn quickstart(samples: &Path) -> Result<()> {
    let fleet = start()?;
    let control = Control::new(&fleet)?;
    println!("== publishing the sample configuration");
    control.run(&[
        "publish",
        "plans",
        &samples.join("plans.json").display().to_string(),
    ])?;
    control.run(&[
        "publish",
        "workspaces",
        &samples.join("workspaces.json").display().to_string(),
    ])?;
    let tenant_key = control.issue_key("stallholders")?;
    fleet.wait_until_ready(READY_TIMEOUT)?;
    println!("== the fleet");
    control.run(&["status"])?;
    println!("== requests with a key: every entry passes them to the owner of the key");
    for key in KEYS {
        show_key(&fleet, &tenant_key, key)?;
    }
    println!("== requests without a key, on an open route");
    for entry in fleet.entries() {
        let request = Request::get(format!("http://{entry}/workshop/open"));
        let (_, answer) = send(&fleet, request)?;
        println!("entry {entry}: answered by upstream {}", answer.instance);
    }
    println!("== done: the fleet stops");
    Ok(())
}

fn start() -> Result<Fleet> {
    let fleet = Fleet::builder()
        .zone("a", 1)
        .zone("b", 1)
        .zone("c", 1)
        .service("ordering", ServiceKind::Keyed { shards: 64 })
        .service("workshop", ServiceKind::Unkeyed)
        .without_configuration()
        .start()?;
    println!(
        "== started 6 VMs in 3 availability zones, with a log stand-in at {}",
        fleet.log().url()
    );
    Ok(fleet)
}

/// Sends a request for one key through every entry, and checks that one upstream answers all of them.
fn show_key(fleet: &Fleet, tenant_key: &str, key: &str) -> Result<()> {
    let mut owner = None;
    for entry in fleet.entries() {
        let request = Request::post(format!("http://{entry}/ordering/orders"))
            .header("authorization", format!("Bearer {tenant_key}"))
            .header("skylark-key", key);
        let (request_id, answer) = send(fleet, request)?;
        println!(
            "entry {entry}, key {key}: answered by upstream {}",
            answer.instance
        );
        ensure!(
            answer.request_id == request_id,
            "the answer belongs to request {}",
            answer.request_id
        );
        ensure!(
            answer.key.as_deref() == Some(key),
            "the answer is for key {:?}",
            answer.key
        );
        let first = owner.get_or_insert_with(|| answer.instance.clone());
        ensure!(
            *first == answer.instance,
            "two upstreams answered for key {key}"
        );
    }
    Ok(())
}

/// Sends a request until it is not refused as one that did not run, and returns its id and its answer.
fn send(fleet: &Fleet, request: ureq::http::request::Builder) -> Result<(String, EchoedAnswer)> {
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let request = request.body("one batch")?;
    let mut answer = None;
    fleet.wait_until("a request was not answered", READY_TIMEOUT, || {
        answer = agent.run(request.clone()).ok();
        answer.as_ref().is_some_and(|answer| !is_not_run(answer))
    })?;
    let mut answer = answer.context("no request was answered")?;
    let text = answer.body_mut().read_to_string()?;
    ensure!(
        answer.status().is_success(),
        "refused with {}: {text}",
        answer.status()
    );
    let id = answer
        .headers()
        .get("skylark-request-id")
        .context("the answer names no request")?;
    Ok((id.to_str()?.to_owned(), serde_json::from_str(&text)?))
}

fn is_not_run(answer: &Response<ureq::Body>) -> bool {
    answer
        .headers()
        .get("skylark-outcome")
        .is_some_and(|outcome| outcome == "not-run")
}

/// The operators' command.
struct Control {
    daemon: String,
    log: String,
    program: std::path::PathBuf,
}

impl Control {
    fn new(fleet: &Fleet) -> Result<Self> {
        let vm = fleet
            .vms()
            .into_iter()
            .next()
            .context("the fleet has no VM")?;
        let own = std::env::current_exe()?;
        Ok(Self {
            daemon: fleet.addresses(&vm)?.operator.to_string(),
            log: fleet.log().url(),
            program: own.with_file_name("skylarkctl"),
        })
    }

    /// Runs a command, shows what it prints, and returns that.
    fn run(&self, arguments: &[&str]) -> Result<String> {
        println!("$ skylarkctl {}", arguments.join(" "));
        let text = self.output(arguments)?;
        print!("{text}");
        Ok(text)
    }

    fn output(&self, arguments: &[&str]) -> Result<String> {
        let output = Command::new(&self.program)
            .args(["--log", &self.log, "--daemon", &self.daemon])
            .args(arguments)
            .output()
            .with_context(|| format!("cannot run {}", self.program.display()))?;
        let errors = String::from_utf8_lossy(&output.stderr);
        ensure!(output.status.success(), "skylarkctl failed: {errors}");
        Ok(String::from_utf8(output.stdout)?)
    }

    /// Issues a tenant key, and does not show it.
    fn issue_key(&self, workspace: &str) -> Result<String> {
        println!("$ skylarkctl key issue {workspace}");
        let text = self.output(&["--json", "key", "issue", workspace])?;
        let issued: serde_json::Value = serde_json::from_str(&text)?;
        let key = issued["key"].as_str().context("skylarkctl named no key")?;
        Ok(key.to_owned())
    }
}
