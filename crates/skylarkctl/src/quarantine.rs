//! Commands for requests that crashed upstreams.

use cluster::Body;

use crate::failure::Failure;
use crate::folded_log::FoldedLog;
use crate::options::Options;
use crate::report::Report;
use crate::service_state::append_and_report;

/// Returns the requests in quarantine.
pub(crate) fn list(folded: &FoldedLog<'_>) -> Report {
    Report::Quarantine {
        entries: folded.fleet.quarantine().clone(),
    }
}

/// Removes a request from quarantine, so that it may run again.
pub(crate) fn clear(
    folded: &mut FoldedLog<'_>,
    fingerprint: String,
    options: &Options,
) -> Result<Report, Failure> {
    let what = format!("request {fingerprint} out of quarantine");
    if !folded.fleet.quarantine().contains_key(&fingerprint) {
        return Ok(Report::Unchanged { what });
    }
    append_and_report(folded, Body::ClearQuarantine { fingerprint }, what, options)
}
