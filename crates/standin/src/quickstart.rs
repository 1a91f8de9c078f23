//! Demonstration of a complete fleet, for newcomers.

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use ureq::Agent;
use ureq::http::Request;
use ureq::http::Response;

use crate::EchoResponse;
use crate::Fleet;
use crate::ServiceKind;

/// Time within which the fleet must become ready, and each request must be answered.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Keys of the sample requests.
const KEYS: [&str; 3] = ["sandalwood", "jasmine", "lemon-myrtle"];

/// Starts a fleet, publishes the sample configuration, and sends requests through every entry.
///
/// # Errors
///
/// Returns an error that names what could not be started, or which response was wrong.
pub fn quickstart(samples: &Path) -> Result<()> {
    let fleet = start()?;
    let skylarkctl = OperatorCommand::new(&fleet)?;
    println!("== publishing the sample configuration");
    skylarkctl.run(&[
        "publish",
        "plans",
        &samples.join("plans.json").display().to_string(),
    ])?;
    skylarkctl.run(&[
        "publish",
        "workspaces",
        &samples.join("workspaces.json").display().to_string(),
    ])?;
    let tenant_key = skylarkctl.issue_key("stallholders")?;
    fleet.wait_until_ready(READY_TIMEOUT)?;
    println!("== the fleet");
    skylarkctl.run(&["status"])?;
    println!("== requests with a key: every entry passes them to the owner of the key");
    for key in KEYS {
        check_key_routing(&fleet, &tenant_key, key)?;
    }
    println!("== requests without a key, on an open route");
    for entry in fleet.entries() {
        let request = Request::get(format!("http://{entry}/workshop/open"));
        let (_, response) = send(&fleet, request)?;
        println!("entry {entry}: answered by upstream {}", response.instance);
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
        .service("workshop", ServiceKind::Keyless)
        .without_configuration()
        .start()?;
    println!(
        "== started 6 VMs in 3 availability zones, with a log stand-in at {}",
        fleet.log().url()
    );
    Ok(fleet)
}

/// Sends a request for one key through every entry, and checks that the same upstream answers all of them.
fn check_key_routing(fleet: &Fleet, tenant_key: &str, key: &str) -> Result<()> {
    let mut owner = None;
    for entry in fleet.entries() {
        let request = Request::post(format!("http://{entry}/ordering/orders"))
            .header("authorization", format!("Bearer {tenant_key}"))
            .header("skylark-key", key);
        let (request_id, response) = send(fleet, request)?;
        println!(
            "entry {entry}, key {key}: answered by upstream {}",
            response.instance
        );
        ensure!(
            response.request_id == request_id,
            "the response belongs to request {}",
            response.request_id
        );
        ensure!(
            response.key.as_deref() == Some(key),
            "the response is for key {:?}",
            response.key
        );
        let first = owner.get_or_insert_with(|| response.instance.clone());
        ensure!(
            *first == response.instance,
            "two upstreams answered for key {key}"
        );
    }
    Ok(())
}

/// Sends a request, retries it while it is refused as not run, and returns its id and its response.
fn send(fleet: &Fleet, request: ureq::http::request::Builder) -> Result<(String, EchoResponse)> {
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let request = request.body("one batch")?;
    let mut response = None;
    fleet.wait_until("a request was not answered", READY_TIMEOUT, || {
        response = agent.run(request.clone()).ok();
        response
            .as_ref()
            .is_some_and(|response| !is_not_run(response))
    })?;
    let mut response = response.context("no request was answered")?;
    let text = response.body_mut().read_to_string()?;
    ensure!(
        response.status().is_success(),
        "refused with {}: {text}",
        response.status()
    );
    let id = response
        .headers()
        .get("skylark-request-id")
        .context("the response has no `skylark-request-id` header")?;
    Ok((id.to_str()?.to_owned(), serde_json::from_str(&text)?))
}

fn is_not_run(response: &Response<ureq::Body>) -> bool {
    response
        .headers()
        .get("skylark-outcome")
        .is_some_and(|outcome| outcome == "not-run")
}

/// The `skylarkctl` command with the addresses that it connects to.
struct OperatorCommand {
    daemon: String,
    log: String,
    program: std::path::PathBuf,
}

impl OperatorCommand {
    fn new(fleet: &Fleet) -> Result<Self> {
        let vm = fleet
            .vms()
            .into_iter()
            .next()
            .context("the fleet has no VM")?;
        let executable = std::env::current_exe()?;
        Ok(Self {
            daemon: fleet.addresses(&vm)?.operator.to_string(),
            log: fleet.log().url(),
            program: executable.with_file_name("skylarkctl"),
        })
    }

    /// Runs a subcommand, prints its output, and returns the output.
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

    /// Issues a tenant key without printing it.
    fn issue_key(&self, workspace: &str) -> Result<String> {
        println!("$ skylarkctl key issue {workspace}");
        let text = self.output(&["--json", "key", "issue", workspace])?;
        let issued: serde_json::Value = serde_json::from_str(&text)?;
        let key = issued["key"]
            .as_str()
            .context("the output of skylarkctl has no field `key`")?;
        Ok(key.to_owned())
    }
}
