//! Commands that take zones, upstreams and members out of service, and return them.

use std::collections::BTreeSet;

use cluster::Body;
use ids::VmId;
use ids::ZoneId;

use crate::confirmed_append::ConfirmedAppend;
use crate::failure::Failure;
use crate::folded_log::FoldedLog;
use crate::options::Options;
use crate::report::Report;

/// Takes a zone out of service or returns it.
pub(crate) fn set_zone(
    folded: &mut FoldedLog<'_>,
    zone: ZoneId,
    out: bool,
    options: &Options,
) -> Result<Report, Failure> {
    let state = if out { "out of" } else { "in" };
    let what = format!("zone {zone} {state} service");
    if folded.fleet.is_zone_out(&zone) == out {
        return Ok(Report::Unchanged { what });
    }
    let members = folded.fleet.members().values();
    let known = members.map(|member| member.join.zone.as_str()).collect();
    check_known("zone", &zone, &known, out, options)?;
    let base = folded.fleet.zone_version(&zone);
    append_and_report(
        folded,
        Body::Zone {
            zone,
            out,
            base,
            position: 0,
        },
        what,
        options,
    )
}

/// Takes an upstream out of service or returns it.
pub(crate) fn set_upstream(
    folded: &mut FoldedLog<'_>,
    vm: VmId,
    drained: bool,
    options: &Options,
) -> Result<Report, Failure> {
    let state = if drained { "out of" } else { "in" };
    let what = format!("upstream of {vm} {state} service");
    if folded.fleet.is_drained(&vm) == drained {
        return Ok(Report::Unchanged { what });
    }
    let known = folded.fleet.members().keys().map(String::as_str).collect();
    check_known("VM", &vm, &known, drained, options)?;
    let base = folded.fleet.upstream_version(&vm);
    append_and_report(folded, Body::Upstream { vm, drained, base }, what, options)
}

/// Declares a member lost, which releases its units. For members that no other process can declare lost.
pub(crate) fn declare_lost(
    folded: &mut FoldedLog<'_>,
    vm: VmId,
    options: &Options,
) -> Result<Report, Failure> {
    let Some(member) = folded.fleet.members().get(&vm) else {
        return Err(Failure::Refused(format!(
            "{vm} is not a member, so it owns nothing: see skylarkctl status"
        )));
    };
    let incarnation = member.incarnation;
    let what = format!("{vm} declared lost in incarnation {incarnation}");
    append_and_report(folded, Body::DeclareLost { vm, incarnation }, what, options)
}

/// Appends a record and reports when it took effect.
pub(crate) fn append_and_report(
    folded: &mut FoldedLog<'_>,
    body: Body,
    what: String,
    options: &Options,
) -> Result<Report, Failure> {
    let version = ConfirmedAppend::new(folded, body, &options.writer, options.timeout).run()?;
    Ok(Report::Done { what, version })
}

/// Returns an error when a zone or VM to take out of service does not exist, as its name may be misspelt.
fn check_known(
    kind: &str,
    name: &str,
    known: &BTreeSet<&str>,
    out: bool,
    options: &Options,
) -> Result<(), Failure> {
    if !out || options.allow_unknown || known.contains(name) {
        return Ok(());
    }
    let known: Vec<_> = known.iter().copied().collect();
    let known = match known.as_slice() {
        [] => "none".to_owned(),
        names => format!("`{}`", names.join("`, `")),
    };
    Err(Failure::Refused(format!(
        "no member has {kind} `{name}`, and those known are {known}: correct the name, or add --unknown-is-fine"
    )))
}
