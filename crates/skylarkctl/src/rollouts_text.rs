//! Text form of roll-outs.

use serde_json::Value;

use crate::status_text::field;

/// Formats roll-outs as lines of text. Missing fields are shown as `-`.
pub(crate) fn rollouts_text(rollouts: &Value) -> String {
    let Some(rollouts) = rollouts.as_array().filter(|rollouts| !rollouts.is_empty()) else {
        return "no roll-out\n".to_owned();
    };
    rollouts.iter().map(rollout_text).collect()
}

fn rollout_text(rollout: &Value) -> String {
    let deciders = rollout["deciders"].as_array().into_iter().flatten();
    let deciders: Vec<&str> = deciders.filter_map(Value::as_str).collect();
    let mut text = format!(
        "{} to {}: {}, share {}, {} of {} ms, status written {}\n",
        field(rollout, "service"),
        field(rollout, "target_version"),
        field(rollout, "state"),
        field(rollout, "share"),
        field(rollout, "since_order_ms"),
        field(rollout, "duration_ms"),
        field(rollout, "published"),
    );
    if !rollout["reason"].is_null() {
        text += &format!("  reason: {}\n", field(rollout, "reason"));
    }
    if !rollout["rollback"].is_null() {
        text += &format!(
            "  rolled back by a decider: {}\n",
            field(rollout, "rollback")
        );
    }
    if !deciders.is_empty() {
        text += &format!("  deciders: {}\n", deciders.join(", "));
    }
    for route in rollout["routes"].as_array().into_iter().flatten() {
        text += &format!(
            "  route {}: new {} answers, {} failed; old {} answers, {} failed; sum {} of {}\n",
            field(route, "route"),
            field(route, "trial_answers"),
            field(route, "trial_failures"),
            field(route, "current_answers"),
            field(route, "current_failures"),
            field(route, "sum"),
            field(route, "threshold"),
        );
    }
    let ages = rollout["report_ages_ms"].as_object().into_iter().flatten();
    if let Some(oldest) = ages.filter_map(|(_, age)| age.as_u64()).max() {
        text += &format!("  oldest report {oldest} ms ago\n");
    }
    text
}
