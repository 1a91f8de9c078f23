//! Cause of the outcome of a request.

use telemetry::RequestDecision;
use telemetry::Step;

use crate::explain::request_trace::TraceStep;

/// Describes the cause of the outcome of a request in one sentence.
pub(crate) fn describe_cause(steps: &[TraceStep]) -> String {
    let end = steps.iter().rev().find(|step| {
        let step = step.decision.step;
        matches!(step, Step::Answered | Step::CallerLeft | Step::Refused)
    });
    let Some(end) = end else {
        return "the lines do not say how it ended: add the log of the process that its caller sent it to"
            .to_owned();
    };
    match end.decision.step {
        Step::Answered => describe_answer(steps, &end.decision),
        Step::CallerLeft => describe_caller_left(steps, &end.decision),
        _ => describe_refusal(steps, end),
    }
}

fn describe_answer(steps: &[TraceStep], end: &RequestDecision) -> String {
    let elapsed = end.details.elapsed_ms.unwrap_or_default();
    let status = end.details.status.unwrap_or_default();
    let answered = last_decision(steps, |step| step == Step::UpstreamAnswered);
    let Some(home) = answered else {
        return format!("answered with status {status} after {elapsed} ms");
    };
    let waited = home.details.waited_ms.unwrap_or_default();
    let upstream = home.details.upstream_ms.unwrap_or_default();
    let vm = &home.vm;
    let unit = home.unit.as_ref();
    let unit = unit.map(|unit| format!(", which owns {unit}"));
    let unit = unit.unwrap_or_default();
    let elsewhere = elapsed.saturating_sub(waited + upstream);
    let largest_part = if waited >= upstream.max(elsewhere) {
        "most of it was the wait for a turn"
    } else if upstream >= elsewhere {
        "most of it was the upstream"
    } else {
        "most of it was before the home, or between the processes"
    };
    format!(
        "answered with status {status} after {elapsed} ms: {waited} ms wait for a turn and {upstream} ms at the \
         upstream of {vm}{unit}; {largest_part}"
    )
}

fn describe_caller_left(steps: &[TraceStep], end: &RequestDecision) -> String {
    let elapsed = end.details.elapsed_ms.unwrap_or_default();
    let routed = last_decision(steps, |step| {
        matches!(step, Step::Hedged | Step::Retried | Step::Routed)
    });
    let dispatched = last_decision(steps, |step| step == Step::Dispatched);
    let location = match (dispatched, routed) {
        (Some(home), _) => format!("the upstream of {} had it", home.vm),
        (None, Some(routed)) => {
            let vm = routed.to.as_deref().unwrap_or("its home");
            format!("it was being sent to {vm}, or was queued there")
        }
        (None, None) => format!("{} had not forwarded it", end.vm),
    };
    format!("its caller left after {elapsed} ms, when {location}")
}

fn describe_refusal(steps: &[TraceStep], end: &TraceStep) -> String {
    let decision = &end.decision;
    let details = &decision.details;
    let entry = &decision.vm;
    let outcome = match details.not_run {
        Some(true) => "refused, and has not run",
        _ => "given up, and may have run",
    };
    let home = last_decision(steps, |step| {
        matches!(step, Step::Failed | Step::RefusedByHome)
    });
    let routed = last_decision(steps, |step| {
        matches!(step, Step::Hedged | Step::Retried | Step::Routed)
    });
    let why = match decision.reason.as_str() {
        "rate-exceeded" => describe_rate_exceeded(decision),
        "overloaded" | "shed" => home.map_or_else(
            || format!("{entry} could not forward it"),
            describe_overload,
        ),
        "upstream-silent" | "upstream-crashed" => {
            let vm = home.map(|home| &home.vm);
            let vm = vm.or_else(|| routed.and_then(|routed| routed.to.as_ref()));
            let vm = vm.map_or("its home", String::as_str);
            let what = match decision.reason.as_str() {
                "upstream-crashed" => "the upstream ended while the request ran",
                _ => "no whole answer came back",
            };
            format!("{vm} had it, and {what}")
        }
        "owner-unreachable" if details.not_run == Some(false) => {
            let vm = routed.and_then(|routed| routed.to.as_ref());
            let vm = vm.map_or("its home", String::as_str);
            format!("{vm} had it, and its process has ended or cannot be reached")
        }
        "lease-lapsed" | "no-owner" | "not-owner" | "owner-unreachable" => {
            let vm = routed.and_then(|routed| routed.to.as_ref());
            let vm = vm.map_or("nobody", String::as_str);
            format!("its key was not served at that time; {entry} knew {vm} as its owner")
        }
        "zone-out" => {
            let vm = home.map_or("its home", |home| &home.vm);
            format!("{vm} is in a zone that is out of service, and its key had not moved yet")
        }
        "uninformed" => format!("{entry} could not know the configuration in force"),
        other => format!("{other} at {entry}"),
    };
    let problems = end.problems.iter().chain(
        home.and_then(|home| steps.iter().find(|step| step.decision == *home))
            .map(|step| step.problems.as_slice())
            .unwrap_or_default(),
    );
    let problems: Vec<_> = problems.map(String::as_str).collect();
    let problems = match problems.is_empty() {
        true => String::new(),
        false => format!("; {}", problems.join("; ")),
    };
    format!("{outcome}: {why}{problems}")
}

fn describe_rate_exceeded(decision: &RequestDecision) -> String {
    let details = &decision.details;
    let workspace = decision.workspace.as_deref().unwrap_or("its workspace");
    let rate = details.rate.unwrap_or_default();
    let burst = details.burst.unwrap_or_default();
    let revision = decision.view.map_or(0, |view| view.revision);
    format!(
        "all entries together passed on what {workspace} may send, {rate} requests a second and a burst of {burst} by \
         configuration {revision}"
    )
}

fn describe_overload(home: &RequestDecision) -> String {
    let details = &home.details;
    let (running, limit) = (details.running.unwrap_or(0), details.limit.unwrap_or(0));
    let ahead = details.ahead.unwrap_or(0);
    let cold = match details.cold {
        Some(true) => ", cold",
        _ => "",
    };
    let target = details.target_latency_ms.unwrap_or(0);
    format!(
        "{} ran {running} of {limit} at once{cold} with {ahead} ahead of it, too many for an answer within {target} ms",
        home.vm
    )
}

fn last_decision(steps: &[TraceStep], matches: impl Fn(Step) -> bool) -> Option<&RequestDecision> {
    let mut decisions = steps.iter().rev().map(|step| &step.decision);
    decisions.find(|decision| matches(decision.step))
}
