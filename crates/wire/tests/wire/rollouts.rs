//! Messages of version roll-outs.

use wire::Datagram;
use wire::MAX_DATAGRAM_BYTES;
use wire::RolloutPermit;
use wire::RolloutReport;
use wire::RolloutRoute;
use wire::RolloutVerdict;
use wire::decode_datagram;
use wire::encode_datagram;

use crate::link_pair::secret;

fn report(routes: usize) -> RolloutReport {
    let route = |index: usize| RolloutRoute {
        name: format!("route-with-a-longer-name-{index}"),
        answers: 1_000_000 + index as u64,
        failures: 12_000,
        buckets: vec![100_000; 24],
    };
    RolloutReport {
        service: "commande".to_owned(),
        position: 1_234_567,
        vm: "vm-123".to_owned(),
        incarnation: 100_000,
        sequence: 7,
        idle: true,
        has_read_promoted: true,
        routes: (0..routes).map(route).collect(),
    }
}

fn decoded(datagram: &Datagram) -> Datagram {
    let encoded = encode_datagram(&secret(1), datagram);
    assert!(encoded.len() <= MAX_DATAGRAM_BYTES, "{}", encoded.len());
    decode_datagram(&secret(1), &encoded).unwrap()
}

// Receivers drop longer datagrams, so that the evidence of a service with many routes would never arrive.
#[test]
fn a_report_of_many_routes_arrives_in_several_datagrams() {
    let parts = report(60).split();
    assert!(parts.len() > 1);
    let mut routes = Vec::new();
    for (index, part) in parts.into_iter().enumerate() {
        assert_eq!(part.sequence, 7 + index as u64);
        assert!(part.idle && part.has_read_promoted);
        match decoded(&Datagram::RolloutReport(part)) {
            Datagram::RolloutReport(part) => routes.extend(part.routes),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(routes, report(60).routes);
}

#[test]
fn a_report_without_routes_is_one_datagram() {
    assert_eq!(report(0).split(), [report(0)]);
}

// One route with a name beyond all bounds must not keep the others from being reported.
#[test]
fn a_route_that_fits_into_no_datagram_is_left_out() {
    let mut long = report(3);
    long.routes[1].name = "x".repeat(2_000);
    let parts = long.split();
    let names: Vec<&str> = parts
        .iter()
        .flat_map(|part| &part.routes)
        .map(|route| &route.name[..])
        .collect();
    assert_eq!(
        names,
        ["route-with-a-longer-name-0", "route-with-a-longer-name-2"]
    );
}

#[test]
fn a_permit_with_a_long_reason_arrives() {
    let permit = RolloutPermit {
        service: "commande".to_owned(),
        position: 1_234_567,
        vm: "vm-123".to_owned(),
        incarnation: 100_000,
        sequence: 7,
        verdict: RolloutVerdict::RolledBack.into(),
        reason: RolloutPermit::shorten_reason(&"é".repeat(2_000)),
    };
    let datagram = Datagram::RolloutPermit(permit);
    assert_eq!(decoded(&datagram), datagram);
}
