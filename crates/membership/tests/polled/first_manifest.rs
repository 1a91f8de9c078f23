//! Time of the first manifest while members join.

use std::time::Duration;

use cluster::Body;
use cluster::Join;
use cluster::Record;

use crate::process::Process;

/// Time between two joins.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// Time of a turn of publication.
const TURN: Duration = Duration::from_millis(300);

/// Time between two steps.
const STEP: Duration = Duration::from_millis(100);

/// Time by which the manifest is published in all cases.
const END: Duration = Duration::from_secs(30);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn join(index: u8) -> Record {
    Record {
        body: Body::Join(Join {
            connections: 10,
            instance: String::new(),
            lease_ms: 2_000,
            peer: format!("10.0.1.{index}:7000").parse().unwrap(),
            region: "r".to_owned(),
            service: "orders".to_owned(),
            slots: 9,
            version: String::new(),
            vm: format!("other-{index}"),
            zone: "z".to_owned(),
        }),
        id: format!("join-{index}"),
        writer: "other".to_owned(),
    }
}

/// Returns the time at which a member publishes the first manifest, and the number of other members then, if these join one
/// after the other from 2 s on until `last_join`.
fn publication(shards_per_member: Option<u32>, last_join: Duration) -> (Duration, u32) {
    let mut process = Process::started_at(ms(300), shards_per_member);
    process.check_in(1, 1, Vec::new());
    let mut joined = 0;
    let mut next_join = ms(2_000);
    while process.agent.fleet().revision() == 0 {
        process.now += STEP;
        assert!(process.now < END, "not published");
        if process.now >= next_join && process.now <= last_join {
            next_join += JOIN_INTERVAL;
            joined += 1;
            let records = process.append(&[join(joined)]);
            process.handle(records);
        }
        let sequence = process.now.as_millis() as u64;
        if sequence.is_multiple_of(900) {
            process.now -= ms(900);
            process.check_in(1, sequence, Vec::new());
        }
        process.handle(membership::Event::LogIdle);
        process.handle(membership::Event::Tick);
    }
    (process.now, joined.into())
}

/// Guards against a number of shards that follows from the first few of the members that start together.
#[test]
fn the_first_manifest_waits_while_members_join() {
    let (alone, _) = publication(Some(40), Duration::ZERO);
    assert_eq!(alone, ms(2_500), "nobody else joins");
    let (at, joined) = publication(None, ms(3_000));
    assert!(
        at <= ms(2_500) + TURN * joined,
        "{at:?}, without the setting"
    );
    let (at, joined) = publication(Some(40), ms(3_000));
    assert_eq!(joined, 4);
    assert!(at >= ms(3_900), "{at:?}: the last joined at 2.9 s");
    assert!(at <= ms(3_900) + TURN * joined, "{at:?}");
    let (at, joined) = publication(Some(40), ms(20_000));
    assert!(
        at >= ms(5_000) && at <= ms(5_000) + TURN * joined,
        "{at:?}: joins go on"
    );
}
