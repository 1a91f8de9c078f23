//! Copies of the folded log on a machine where a copy takes long.

mod support;

use std::time::Duration;

use cluster::Body;
use cluster::FleetCopy;
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
        copy.refresh(&log.fleet, now, || now + COPY_TIME)
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
    copy.refresh(&log.fleet, now, || now + COPY_TIME);
    log.append_applied(join(2, "c"));
    let count = |copy: &mut FleetCopy, after: Duration| {
        let now = now + COPY_TIME + after;
        let copied = copy.refresh(&log.fleet, now, || now + COPY_TIME);
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
    copy.refresh(&log.fleet, now, || now + COPY_TIME);
    log.append_applied(join(2, "c"));
    copy.expire();
    let copied = copy.refresh(&log.fleet, now + COPY_TIME, || now + COPY_TIME);
    assert_eq!(copied.members().len(), 3);
}
