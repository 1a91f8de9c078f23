//! Text form of the state of a fleet.

use serde_json::Value;

/// Formats the state of a fleet as lines of text. Missing fields are shown as `-`.
pub(crate) fn status_text(status: &Value) -> String {
    let mut text = format!(
        "configuration {}, plans {}, workspaces {}, log read to {}\nunits {}, without owner {}\n",
        field(status, "config_version"),
        field(status, "plans_version"),
        field(status, "workspaces_version"),
        field(status, "next"),
        field(status, "units"),
        field(status, "unowned_units"),
    );
    for (zone, out) in status["zones_out"].as_object().into_iter().flatten() {
        let state = if out == &Value::Bool(true) {
            "out of"
        } else {
            "in"
        };
        text += &format!("zone {zone} {state} service\n");
    }
    for member in status["members"].as_array().into_iter().flatten() {
        text += &member_text(member);
    }
    for fingerprint in status["quarantine"].as_array().into_iter().flatten() {
        text += &format!("quarantine {}\n", to_plain_text(fingerprint));
    }
    text
}

fn member_text(member: &Value) -> String {
    let drained = member["drained"] == true;
    format!(
        "{} in {}: {}, units {}, log read to {}{}\n",
        field(member, "vm"),
        field(member, "zone"),
        field(member, "service"),
        field(member, "units"),
        field(member, "next"),
        if drained { ", drained" } else { "" }
    )
}

pub(crate) fn field(value: &Value, name: &str) -> String {
    to_plain_text(&value[name])
}

fn to_plain_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
