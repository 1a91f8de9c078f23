//! Commands that issue and withdraw tenant keys.

use cluster::Body;
use config::KeyHash;
use ids::WorkspaceId;
use uuid::Uuid;

use crate::confirmed_append::ConfirmedAppend;
use crate::failure::Failure;
use crate::folded_log::FoldedLog;
use crate::options::Options;
use crate::report::Report;
use crate::service_state::append_and_report;

/// Generates a key, and publishes its hash.
pub(crate) fn issue(
    folded: &mut FoldedLog<'_>,
    workspace: WorkspaceId,
    options: &Options,
) -> Result<Report, Failure> {
    let declared = &folded.fleet.workspaces().workspaces;
    if !declared.contains_key(&workspace) {
        return Err(Failure::Refused(format!(
            "workspace `{workspace}` is not declared: publish it first"
        )));
    }
    let key = new_key();
    let hash = KeyHash::of(&key);
    let body = Body::IssueKey {
        workspace,
        hash: hash.clone(),
    };
    let hash = hash.as_str().to_owned();
    match ConfirmedAppend::new(folded, body, &options.writer, options.timeout).run() {
        Ok(version) => Ok(Report::Key { hash, key, version }),
        Err(Failure::OutcomeUnknown { .. }) => Err(Failure::KeyOutcomeUnknown { hash }),
        Err(failure) => Err(failure),
    }
}

/// Withdraws a key permanently.
pub(crate) fn withdraw(
    folded: &mut FoldedLog<'_>,
    hash: KeyHash,
    options: &Options,
) -> Result<Report, Failure> {
    let what = format!("key with hash {} withdrawn", hash.as_str());
    if folded.fleet.is_withdrawn(&hash) {
        return Ok(Report::Unchanged { what });
    }
    if folded.fleet.workspace_of(&hash).is_none() && !options.allow_unknown {
        return Err(Failure::Refused(format!(
            "no key has the hash {}: check the key, or add --unknown-is-fine",
            hash.as_str()
        )));
    }
    append_and_report(folded, Body::WithdrawKey { hash }, what, options)
}

/// Returns a new key with 244 random bits.
fn new_key() -> String {
    format!("sk_{}{}", Uuid::new_v4().simple(), Uuid::new_v4().simple())
}
