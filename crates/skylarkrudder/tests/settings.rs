//! Each invalid setting is refused with one message that names the field, its value and the remedy.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use insta::assert_snapshot;
use serde_json::Value;
use serde_json::json;

/// A settings file in its own directory.
struct SettingsFile {
    directory: PathBuf,
    settings: Value,
}

impl SettingsFile {
    fn valid(test: &str) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("settings-{test}"));
        std::fs::create_dir_all(&directory).unwrap();
        std::fs::write(directory.join("secret"), "0123456789abcdef0123456789abcdef").unwrap();
        let settings = json!({
            "addresses": {
                "announce": "127.0.0.1:7004",
                "caller": "127.0.0.1:7001",
                "operator": "127.0.0.1:7003",
                "peer": "127.0.0.1:7002",
            },
            "log": { "addresses": ["http://127.0.0.1:7000"] },
            "peer_secret_file": "secret",
            "region": "region-1",
            "vm": "vm-1",
            "zone": "zone-1",
        });
        Self {
            directory,
            settings,
        }
    }

    fn with(mut self, pointer: &str, value: Value) -> Self {
        let (parent, field) = pointer.rsplit_once('/').unwrap();
        let parent = self.settings.pointer_mut(parent).unwrap();
        parent[field] = value;
        self
    }

    fn without(mut self, field: &str) -> Self {
        self.settings.as_object_mut().unwrap().remove(field);
        self
    }

    fn check(&self) -> Output {
        std::fs::write(
            self.directory.join("settings.json"),
            self.settings.to_string(),
        )
        .unwrap();
        self.run(&["--settings", "settings.json", "--check"])
    }

    fn run(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_skylarkrudder"))
            .current_dir(&self.directory)
            .args(arguments)
            .output()
            .unwrap()
    }

    /// Checks that the settings are refused, and returns the error message.
    fn refusal(&self) -> String {
        let output = self.check();
        assert_eq!(output.status.code(), Some(2));
        String::from_utf8(output.stderr).unwrap()
    }
}

#[test]
fn valid_settings_are_accepted() {
    let output = SettingsFile::valid("valid").check();
    assert_eq!(output.status.code(), Some(0));
    assert_snapshot!(String::from_utf8(output.stdout).unwrap());
}

#[test]
fn unknown_field_is_refused() {
    assert_snapshot!(
        SettingsFile::valid("unknown")
            .with("/colour", json!("red"))
            .refusal()
    );
}

#[test]
fn unknown_limit_is_refused() {
    let file = SettingsFile::valid("unknown-limit").with("/limits", json!({ "body_kib": 3 }));
    assert_snapshot!(file.refusal());
}

#[test]
fn missing_field_is_refused() {
    assert_snapshot!(SettingsFile::valid("missing").without("zone").refusal());
}

#[test]
fn value_out_of_range_is_refused() {
    let file = SettingsFile::valid("range").with("/limits", json!({ "header_bytes": 12 }));
    assert_snapshot!(file.refusal());
}

#[test]
fn unknown_chooser_is_refused() {
    let file = SettingsFile::valid("chooser").with("/policy", json!({ "chooser": "best" }));
    assert_snapshot!(file.refusal());
}

#[test]
fn extra_requests_out_of_range_are_refused() {
    let policy = json!({ "extra_requests_percent": 101 });
    assert_snapshot!(
        SettingsFile::valid("extra")
            .with("/policy", policy)
            .refusal()
    );
}

#[test]
fn name_with_a_space_is_refused() {
    assert_snapshot!(
        SettingsFile::valid("name")
            .with("/vm", json!("vm 1"))
            .refusal()
    );
}

#[test]
fn host_name_as_address_is_refused() {
    let file = SettingsFile::valid("address").with("/addresses/peer", json!("localhost:7002"));
    assert_snapshot!(file.refusal());
}

#[test]
fn address_with_port_zero_is_refused() {
    let file = SettingsFile::valid("port").with("/addresses/peer", json!("127.0.0.1:0"));
    assert_snapshot!(file.refusal());
}

#[test]
fn duplicate_address_is_refused() {
    let file = SettingsFile::valid("twice").with("/addresses/peer", json!("127.0.0.1:7001"));
    assert_snapshot!(file.refusal());
}

#[test]
fn log_without_address_is_refused() {
    let file = SettingsFile::valid("no-log").with("/log/addresses", json!([]));
    assert_snapshot!(file.refusal());
}

#[test]
fn log_address_with_path_is_refused() {
    let file =
        SettingsFile::valid("log-path").with("/log/addresses", json!(["http://10.0.0.1/v1"]));
    assert_snapshot!(file.refusal());
}

#[test]
fn unknown_log_level_is_refused() {
    assert_snapshot!(
        SettingsFile::valid("level")
            .with("/log_level", json!("loud"))
            .refusal()
    );
}

#[test]
fn missing_secret_file_is_refused() {
    let file = SettingsFile::valid("no-secret").with("/peer_secret_file", json!("nowhere"));
    assert_snapshot!(file.refusal());
}

#[test]
fn short_secret_is_refused() {
    let file = SettingsFile::valid("short-secret");
    std::fs::write(file.directory.join("short"), "0123").unwrap();
    let file = file.with("/peer_secret_file", json!("short"));
    assert_snapshot!(file.refusal());
}

#[test]
fn missing_settings_file_is_refused() {
    let output = SettingsFile::valid("no-file").run(&["--settings", "nowhere.json"]);
    assert_eq!(output.status.code(), Some(2));
    assert_snapshot!(String::from_utf8(output.stderr).unwrap());
}

#[test]
fn settings_file_that_is_not_json_is_refused() {
    let file = SettingsFile::valid("no-json");
    std::fs::write(file.directory.join("broken.json"), "{ vm: 1 }").unwrap();
    let output = file.run(&["--settings", "broken.json", "--check"]);
    assert_eq!(output.status.code(), Some(2));
    assert_snapshot!(String::from_utf8(output.stderr).unwrap());
}

#[test]
fn missing_and_unknown_arguments_are_refused() {
    let file = SettingsFile::valid("arguments");
    let missing = file.run(&[]);
    let unknown = file.run(&["--settings", "settings.json", "--verbose"]);
    assert_eq!(missing.status.code(), Some(2));
    assert_eq!(unknown.status.code(), Some(2));
    assert_snapshot!(String::from_utf8([missing.stderr, unknown.stderr].concat()).unwrap());
}
