//! Decisions that are reported while a zone is taken out of service and returned.

mod support;

use std::time::Duration;

use cluster::Body;
use cluster::Record;
use membership::Action;
use membership::Decision;
use membership::Event;
use membership::OperatorDeclarations;
use support::agent;

const NOW: Duration = Duration::from_millis(100);

fn decisions(actions: Vec<Action>) -> Vec<Decision> {
    let decisions = actions.into_iter().filter_map(|action| match action {
        Action::LogDecision(decision) => Some(decision),
        _ => None,
    });
    decisions.collect()
}

fn zone_record(id: &str, base: u64, out: bool) -> String {
    let record = Record {
        body: Body::Zone {
            base,
            out,
            position: 0,
            zone: "z".to_owned(),
        },
        id: id.to_owned(),
        writer: "vm-2".to_owned(),
    };
    serde_json::to_string(&record).unwrap()
}

#[test]
fn a_zone_is_reported_once_when_declared_and_once_when_recorded() {
    let mut agent = agent();
    let declared = OperatorDeclarations {
        position: 1,
        zones_out: ["z".to_owned()].into(),
        ..OperatorDeclarations::default()
    };
    let actions = agent.handle(NOW, Event::Declared(declared));
    let zone = || "z".to_owned();
    let out = true;
    let expected = Decision::ZoneDeclared { out, zone: zone() };
    assert_eq!(decisions(actions), [expected]);
    for (offset, out) in [(1, true), (2, false)] {
        let record = zone_record(&format!("record-{offset}"), offset - 1, out);
        let event = Event::Records {
            next: offset + 1,
            records: vec![(offset, record)],
        };
        let decisions = decisions(agent.handle(NOW, event));
        assert!(decisions.contains(&Decision::ZoneRecorded { out, zone: zone() }));
    }
    assert_eq!(decisions(agent.handle(NOW, Event::Tick)), []);
}
