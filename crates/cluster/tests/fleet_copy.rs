//! Copies of the folded log on a machine where a copy takes long.

mod support;

use std::time::Duration;

use cluster::Body;
use cluster::Document;
use cluster::FleetCopy;
use config::Manifest;
use config::Plans;
use support::Log;
use support::join;

/// Time that a copy takes.
const COPY_TIME: Duration = Duration::from_millis(250);

#[test]
fn a_new_configuration_is_copied_at_once() {
    let mut log = Log::with_members(4, &["a", "b"]);
    let mut copy = FleetCopy::default();
    let now = Duration::from_secs(1);
    let refresh = |copy: &mut FleetCopy, log: &Log, now: Duration| {
        copy.refresh(&log.fleet, None, now, || now + COPY_TIME)
    };
    refresh(&mut copy, &log, now);
    log.append_applied(Body::Zone {
        base: log.fleet.zone_version("a"),
        out: true,
        position: 1,
        zone: "a".to_owned(),
    });
    let copied = refresh(&mut copy, &log, now + COPY_TIME);
    assert!(copied.is_zone_out("a"));
}

#[test]
fn other_changes_are_copied_within_a_second() {
    let mut log = Log::with_members(4, &["a", "b"]);
    let mut copy = FleetCopy::default();
    let now = Duration::from_secs(1);
    copy.refresh(&log.fleet, None, now, || now + COPY_TIME);
    log.append_applied(join(2, "c"));
    let count = |copy: &mut FleetCopy, after: Duration| {
        let now = now + COPY_TIME + after;
        let copied = copy.refresh(&log.fleet, None, now, || now + COPY_TIME);
        copied.members().len()
    };
    assert_eq!(count(&mut copy, Duration::from_millis(1)), 2);
    assert_eq!(count(&mut copy, Duration::from_secs(1)), 3);
}

#[test]
fn an_expired_copy_is_made_anew_at_once() {
    let mut log = Log::with_members(4, &["a", "b"]);
    let mut copy = FleetCopy::default();
    let now = Duration::from_secs(1);
    copy.refresh(&log.fleet, None, now, || now + COPY_TIME);
    log.append_applied(join(2, "c"));
    copy.expire();
    let copied = copy.refresh(&log.fleet, None, now + COPY_TIME, || now + COPY_TIME);
    assert_eq!(copied.members().len(), 3);
}

fn manifest(revision: u64, shards: u32) -> Manifest {
    let route = r#"{"prefix": "/", "methods": ["GET"], "idempotent": true}"#;
    let service = format!(r#"{{"ordering": {{"routes": [{route}], "shards": {shards}}}}}"#);
    let text = format!(r#"{{"services": {service}, "plans": {{}}}}"#);
    Manifest {
        plans: Plans::parse(&text).expect("the plans are valid"),
        revision,
        ..Manifest::default()
    }
}

#[test]
fn a_declared_manifest_is_in_force_before_the_log_holds_it() {
    let log = Log::with_members(4, &["a", "b"]);
    let mut copy = FleetCopy::default();
    let now = Duration::from_secs(1);
    let mut refresh = |declared: Option<&Manifest>| {
        let copied = copy.refresh(&log.fleet, declared, now, || now + COPY_TIME);
        let services = copied.plans().services.keys().cloned();
        (copied.revision(), services.collect::<Vec<_>>())
    };
    let service = log.fleet.plans().services.keys().cloned();
    let services: Vec<_> = service.collect();
    assert_eq!(refresh(None), (0, services.clone()));
    assert_eq!(refresh(Some(&manifest(5, 4))), (5, services.clone()));
    // The number of shards of a service cannot change.
    assert_eq!(refresh(Some(&manifest(6, 8))), (0, services));
}

#[test]
fn the_log_supersedes_an_older_declaration() {
    let mut log = Log::with_members(4, &["a", "b"]);
    let mut copy = FleetCopy::default();
    let now = Duration::from_secs(1);
    let declared = manifest(5, 4);
    copy.refresh(&log.fleet, Some(&declared), now, || now + COPY_TIME);
    log.append_applied(Body::Publish {
        base: 0,
        document: Document::Manifest(Box::new(manifest(7, 4))),
    });
    let copied = copy.refresh(&log.fleet, Some(&declared), now, || now + COPY_TIME);
    assert_eq!(copied.revision(), 7);
}

#[test]
fn a_key_that_a_newer_manifest_added_at_the_entry_is_accepted() {
    let log = Log::with_members(4, &["a", "b"]);
    let offset = log.fleet.next_offset();
    assert!(log.fleet.accepts_key("unknown", offset, 1));
    assert!(!log.fleet.accepts_key("unknown", offset, 0));
}
