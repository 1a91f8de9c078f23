//! Numbers of shards of services with numeric keys: by fleet size, in later manifests, before the first record, and what
//! they mean for the answers to check-ins and for neighbouring busy keys.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::Body;
use cluster::Document;
use cluster::Fleet;
use cluster::FleetCopy;
use cluster::Outcome;
use config::Manifest;
use config::Plans;
use config::Service;
use config::Workspaces;
use ids::Unit;
use support::Log;
use support::join;
use support::vm;

/// Name of the service of all members.
const SERVICE: &str = "ordering";

/// Number of keys of the service.
const KEYS: u32 = 65_536;

/// Setting `policy.shards_per_member`. That of the template is lower, so that fewer ranges have to fit into an answer.
const SHARDS_PER_MEMBER: u32 = 40;

/// Maximum length of the ranges in an answer to a check-in, in bytes.
const MAX_RANGES_BYTES: usize = 4_000;

/// Maximum number of ranges in an answer to a check-in.
const MAX_RANGES: usize = 165;

/// Fraction of the traffic that goes to the busy keys.
const BUSY_TRAFFIC: f64 = 0.4;

/// Returns a manifest that declares the service, with an undecided number of shards if `shards` is 0.
fn manifest(revision: u64, shards: u32) -> Manifest {
    let service = Service {
        numeric_keys: Some(KEYS),
        shards,
        ..Service::default()
    };
    Manifest {
        plans: Plans {
            hosts: [("app.example".to_owned(), Vec::new())].into(),
            services: [(SERVICE.to_owned(), service)].into(),
            ..Plans::default()
        },
        revision,
        workspaces: Workspaces::default(),
    }
}

fn publication(manifest: Manifest) -> Body {
    Body::Publish {
        base: 0,
        document: Document::Manifest(Box::new(manifest)),
    }
}

fn log_with(members: usize) -> Log {
    let mut log = Log::default();
    for index in 0..members {
        log.append_applied(join(index, ["za", "zb", "zc"][index % 3]));
    }
    log
}

/// Returns the record that a member appends for a manifest without a number of shards.
fn stated(log: &Log, revision: u64, shards_per_member: Option<u32>) -> Body {
    let mut manifest = manifest(revision, 0);
    log.fleet.state_shards(&mut manifest, shards_per_member);
    publication(manifest)
}

fn shards(fleet: &Fleet) -> u32 {
    fleet.plans().services[SERVICE].shards
}

fn published(members: usize, shards_per_member: Option<u32>) -> Log {
    let mut log = log_with(members);
    log.append_applied(stated(&log, 1, shards_per_member));
    log
}

#[test]
fn the_number_follows_from_the_members_of_the_service() {
    let expected = [
        (0, 256),
        (4, 256),
        (6, 256),
        (7, 512),
        (12, 512),
        (23, 1_024),
        (39, 2_048),
        (51, 2_048),
        (52, 4_096),
        (110, 4_096),
    ];
    for (members, count) in expected {
        let log = published(members, Some(SHARDS_PER_MEMBER));
        assert_eq!(shards(&log.fleet), count, "{members} members");
        assert_eq!(shards(&published(members, None).fleet), 256);
    }
}

/// Guards against counting members of other services, which own none of the shards.
#[test]
fn members_of_other_services_do_not_count() {
    let mut log = log_with(6);
    for index in 6..40 {
        let Body::Join(mut join) = join(index, "za") else {
            panic!("not a join");
        };
        join.service = "other".to_owned();
        log.append_applied(Body::Join(join));
    }
    log.append_applied(stated(&log, 1, Some(SHARDS_PER_MEMBER)));
    assert_eq!(shards(&log.fleet), 256);
}

#[test]
fn no_shard_is_empty() {
    let log = log_with(39);
    let mut manifest = manifest(1, 0);
    let services = &mut manifest.plans.services;
    services.get_mut(SERVICE).unwrap().numeric_keys = Some(1_000);
    log.fleet
        .state_shards(&mut manifest, Some(SHARDS_PER_MEMBER));
    assert_eq!(manifest.plans.services[SERVICE].shards, 512);
    manifest.check().unwrap();
}

/// Guards against a later manifest that maps keys to other shards, from a publisher that counted other members or that has
/// not read the first record.
#[test]
fn a_later_manifest_keeps_the_number() {
    let mut log = published(7, Some(SHARDS_PER_MEMBER));
    let unit = log.fleet.unit_of(&SERVICE.to_owned(), "40000");
    for index in 7..40 {
        log.append_applied(join(index, "za"));
    }
    log.append_applied(stated(&log, 2, Some(SHARDS_PER_MEMBER)));
    log.append_applied(stated(&log, 3, None));
    log.append_applied(publication(manifest(4, 2_048)));
    log.append_applied(publication(manifest(5, 0)));
    assert_eq!(log.fleet.revision(), 5);
    assert_eq!(shards(&log.fleet), 512);
    assert_eq!(log.fleet.unit_of(&SERVICE.to_owned(), "40000"), unit);
    assert_eq!(log.fleet.owners().len(), 512);
    assert_eq!(log.refold(), log.fleet);
}

/// Guards against two publishers of the first manifest that counted different members: the first record decides.
#[test]
fn the_first_of_two_records_decides() {
    let mut log = log_with(7);
    let first = stated(&log, 1, Some(SHARDS_PER_MEMBER));
    log.append_applied(join(7, "za"));
    log.append_applied(first);
    assert!(matches!(
        log.append(publication(manifest(1, 4_096))),
        Outcome::Rejected(_)
    ));
    assert_eq!(shards(&log.fleet), 512);
}

#[test]
fn a_first_record_without_a_number_is_rejected() {
    let mut log = log_with(4);
    let outcome = log.append(publication(manifest(1, 0)));
    assert!(matches!(outcome, Outcome::Rejected(_)), "{outcome:?}");
    assert!(!log.fleet.is_configured());
}

/// Guards against a service that gets keys later although requests without keys may still run anywhere.
#[test]
fn a_service_that_was_declared_without_keys_gets_none() {
    let mut log = log_with(4);
    let mut without_keys = manifest(1, 0);
    let services = &mut without_keys.plans.services;
    services.get_mut(SERVICE).unwrap().numeric_keys = None;
    log.append_applied(publication(without_keys));
    let outcome = log.append(stated(&log, 2, Some(SHARDS_PER_MEMBER)));
    assert!(matches!(outcome, Outcome::Rejected(_)), "{outcome:?}");
    let declared = manifest(2, 0);
    let copied = FleetCopy::default().refresh(&log.fleet, Some(&declared), Duration::ZERO, || {
        Duration::ZERO
    });
    assert_eq!(copied.revision(), 1);
}

#[test]
fn a_restored_log_keeps_the_number() {
    let log = published(39, Some(SHARDS_PER_MEMBER));
    let mut restored = Fleet::restore(&log.fleet.continued_in(1).snapshot_parts()).unwrap();
    let mut later = manifest(2, 0);
    restored.state_shards(&mut later, Some(1));
    assert_eq!(later.plans.services[SERVICE].shards, 2_048);
    let record = log.record("later", publication(manifest(2, 0)));
    restored.apply(restored.next_offset(), &record);
    assert_eq!(restored.revision(), 2);
    assert_eq!(shards(&restored), 2_048);
}

/// Guards against a process that maps keys by a number of its own before it has read the first record.
#[test]
fn a_process_that_has_read_only_the_declaration_maps_no_keys() {
    let mut log = log_with(39);
    let declared = manifest(1, 0);
    let mut copy = FleetCopy::default();
    let mut refresh = |log: &Log| {
        copy.refresh(&log.fleet, Some(&declared), Duration::ZERO, || {
            Duration::ZERO
        })
    };
    let copied = refresh(&log);
    let service = &copied.plans().services[SERVICE];
    assert_eq!(copied.revision(), 1);
    assert!(service.is_keyed());
    assert!(service.accepts_key("65535") && !service.accepts_key("65536"));
    assert_eq!(copied.unit_of(&SERVICE.to_owned(), "7"), None);
    assert_eq!(service.range_of_shard(0), None);

    log.append_applied(stated(&log, 1, Some(SHARDS_PER_MEMBER)));
    let copied = refresh(&log);
    let unit = copied.unit_of(&SERVICE.to_owned(), "64").unwrap();
    assert_eq!(unit.to_string(), "shard:ordering:2");
    assert!(copied.owner(&unit).is_some());
}

/// Guards against a declared manifest that takes effect before its record with another number than the registered one.
#[test]
fn a_declared_manifest_uses_the_registered_number() {
    let log = published(39, Some(SHARDS_PER_MEMBER));
    for declared in [manifest(2, 0), manifest(2, 256)] {
        let copied =
            FleetCopy::default().refresh(&log.fleet, Some(&declared), Duration::ZERO, || {
                Duration::ZERO
            });
        assert_eq!(copied.revision(), 2);
        assert_eq!(shards(&copied), 2_048);
    }
}

/// Ranges of a member as an answer to a check-in lists them: their number and their length in bytes.
fn ranges_of(fleet: &Fleet, vm: &str) -> (usize, usize) {
    let service = &fleet.plans().services[SERVICE];
    let mut ranges: Vec<(u32, u32, u64)> = Vec::new();
    for (unit, owner) in fleet.units_of(vm) {
        let Unit::Shard { index, .. } = unit else {
            continue;
        };
        let range = service.range_of_shard(*index).unwrap();
        match ranges.last_mut() {
            Some((_, last, fence)) if *last + 1 == range.first && *fence == owner.fence => {
                *last = range.last;
            }
            _ => ranges.push((range.first, range.last, owner.fence)),
        }
    }
    let digits = |number: u64| number.to_string().len();
    let bytes = ranges.iter().map(|(first, last, fence)| {
        8 + digits(u64::from(*first)) + digits(u64::from(*last)) + digits(*fence)
    });
    (ranges.len(), bytes.sum())
}

/// Guards against answers to check-ins that are too long, which would leave keys without service. Load pattern: fleets of 4
/// to 110 members of which half leave one after the other, as in the loss of zones.
#[test]
fn answers_to_check_ins_stay_within_their_limit_when_half_of_the_members_are_lost() {
    for members in [4, 6, 7, 8, 12, 13, 16, 23, 25, 26, 39, 51, 52, 53, 80, 110] {
        let mut log = published(members, Some(SHARDS_PER_MEMBER));
        for index in 0..members / 2 {
            log.leave(&vm(2 * index));
        }
        let remaining: Vec<String> = log.fleet.members().keys().cloned().collect();
        let longest = |log: &Log| {
            let ranges = remaining.iter().map(|vm| ranges_of(&log.fleet, vm));
            ranges.fold((0, 0), |(count, bytes), range| {
                (count.max(range.0), bytes.max(range.1))
            })
        };
        let (count, bytes) = longest(&log);
        assert!(
            bytes <= MAX_RANGES_BYTES,
            "{members}: {count}, {bytes} bytes"
        );
        // A member with too many ranges joins again, and has one fence for all of them.
        for (index, vm) in (0..members).map(|index| (index, vm(index))) {
            if remaining.contains(&vm) {
                log.append_applied(join(index, ["za", "zb", "zc"][index % 3]));
            }
        }
        let (count, bytes) = longest(&log);
        assert!(count <= MAX_RANGES, "{members}: {count} ranges");
        assert!(bytes <= MAX_RANGES_BYTES, "{members}: {bytes} bytes");
    }
}

/// Returns the load of the busiest member relative to the mean, with neighbouring busy keys.
fn busiest_over_mean(log: &Log, first_busy: u32, busy_keys: u32) -> f64 {
    let mut loads: BTreeMap<String, f64> = BTreeMap::new();
    for key in 0..KEYS {
        let is_busy = (first_busy..first_busy + busy_keys).contains(&key);
        let unit = log.fleet.unit_of(&SERVICE.to_owned(), &key.to_string());
        let owner = log.fleet.owner(&unit.unwrap()).unwrap();
        *loads.entry(owner.vm.clone()).or_default() += match is_busy {
            true => BUSY_TRAFFIC / f64::from(busy_keys),
            false => (1.0 - BUSY_TRAFFIC) / f64::from(KEYS - busy_keys),
        };
    }
    let max = loads.values().copied().fold(0.0, f64::max);
    max * log.fleet.members().len() as f64
}

/// Load pattern: 200 or 60 neighbouring keys of 65,536 get 0.4 of the traffic, in a fleet of 39 members.
#[test]
fn neighbouring_busy_keys_are_spread() {
    let before = published(39, None);
    let after = published(39, Some(SHARDS_PER_MEMBER));
    for (busy_keys, max_ratio) in [(200, 3.3), (60, 9.1)] {
        let worst = |log: &Log| {
            let starts = [0, 1_000, 20_003, 40_111, 65_000];
            let ratios = starts.map(|first| busiest_over_mean(log, first, busy_keys));
            ratios.into_iter().fold(0.0, f64::max)
        };
        let (before, after) = (worst(&before), worst(&after));
        assert!(after <= max_ratio, "{busy_keys} busy keys: {after}");
        assert!(after < 0.6 * before);
    }
}
