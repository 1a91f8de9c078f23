//! Declarations of operators that were lost when the log was restored from a backup.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cluster::Body;
use cluster::Record;
use ids::ZoneId;
use ids::first_offset;
use membership::Action;
use membership::Agent;
use membership::Event;
use membership::OperatorDeclarations;
use support::first_publication;
use support::manifest;
use support::record;

/// Position of the declaration that took the zone out, before the restore.
const POSITION: u64 = 5;

/// Time at which the process reads the log and the declarations.
const START: Duration = Duration::from_millis(100);

/// Time that operators have to repeat a declaration.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Returns a process that has read a log in which `zone-a` is out of service.
fn agent() -> Agent {
    let mut agent = support::agent();
    let zone = Body::Zone {
        base: 0,
        out: true,
        position: POSITION,
        zone: "zone-a".to_owned(),
    };
    let records = vec![(1, first_publication()), (2, record("record-2", zone))];
    agent.handle(START, Event::Records { next: 3, records });
    agent
}

/// Declares zones out of service at a position after the restore, and returns the zones whose state the process changes by
/// `until`.
fn changed_zones(zones_out: &[&str], until: Duration) -> Vec<(ZoneId, bool)> {
    let mut agent = agent();
    let zones_out: BTreeSet<ZoneId> = zones_out.iter().map(|zone| (*zone).to_owned()).collect();
    let declared = OperatorDeclarations {
        manifest: Some(manifest(1)),
        position: first_offset(1),
        rollouts: BTreeMap::new(),
        zones_out,
    };
    let mut actions = agent.handle(START, Event::Declared(declared));
    actions.extend(agent.handle(until, Event::Tick));
    let changed = actions.into_iter().filter_map(|action| match action {
        Action::Append(Record {
            body: Body::Zone { out, zone, .. },
            ..
        }) => Some((zone, out)),
        _ => None,
    });
    changed.collect()
}

#[test]
fn a_zone_whose_declaration_was_lost_stays_out_until_operators_could_repeat_it() {
    let settled = START + SETTLE_TIME;
    assert_eq!(changed_zones(&[], settled - Duration::from_millis(1)), []);
    assert_eq!(changed_zones(&[], settled), [("zone-a".to_owned(), false)]);
}

#[test]
fn a_zone_that_is_declared_out_after_the_restore_is_taken_out_at_once() {
    let changed = changed_zones(&["zone-a", "zone-b"], START + Duration::from_millis(500));
    assert_eq!(changed, [("zone-b".to_owned(), true)]);
}
