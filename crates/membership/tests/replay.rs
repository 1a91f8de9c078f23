//! Replays of recorded traces. Each snapshot holds the actions of the agent, without heartbeats and
//! their answers.

use membership::Action;
use membership::Trace;

fn replay(text: &str) -> String {
    let trace = Trace::parse(text).expect("the trace is well formed");
    let mut lines = String::new();
    for step in trace.replay() {
        for action in step.actions {
            if matches!(
                action,
                Action::SendHeartbeat { .. } | Action::SendHeartbeatAnswer { .. }
            ) {
                continue;
            }
            let action = serde_json::to_string(&action).expect("an action is JSON");
            lines.push_str(&format!("{} ms {action}\n", step.at.as_millis()));
        }
    }
    lines
}

#[test]
fn takeover_from_a_killed_peer() {
    insta::assert_snapshot!(replay(include_str!("traces/takeover.jsonl")));
}

#[test]
fn a_damaged_trace_is_refused() {
    let text = include_str!("traces/takeover.jsonl");
    let header = text.lines().next().expect("it has a header");
    let damaged = format!("{header}\n{{\"at\": 1}}");
    insta::assert_snapshot!(Trace::parse(&damaged).expect_err("line 2 is damaged"));
    insta::assert_snapshot!(Trace::parse("").expect_err("an empty trace is refused"));
}
