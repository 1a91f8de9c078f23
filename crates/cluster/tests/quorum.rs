//! Quorum sizes, and detection of single losses.

mod support;

use cluster::Quorum;
use support::Log;
use support::vm;

#[test]
fn majorities_intersect() {
    let expected = [(0, 1), (1, 1), (1, 2), (2, 2), (2, 3), (3, 3)];
    for (witnesses, (renewals, suspicions)) in expected.into_iter().enumerate() {
        let quorum = Quorum::of(witnesses);
        assert_eq!((quorum.renewals, quorum.suspicions), (renewals, suspicions));
        assert!(quorum.renewals + quorum.suspicions > witnesses);
    }
}

#[test]
fn the_loss_of_one_member_is_detected_and_ends_no_other_lease() {
    for size in 1..=12 {
        for zones in 1..=4 {
            for lost in 0..size {
                check_one_loss(size, zones, &vm(lost));
            }
        }
    }
}

fn check_one_loss(size: usize, zones: usize, lost: &str) {
    let names: Vec<String> = (0..size)
        .map(|index| format!("z{}", index % zones))
        .collect();
    let zones: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut log = Log::with_members(16, &zones);
    log.replace_all_witnesses();
    let witnesses = log.fleet.members()[lost].witnesses.clone();
    let suspicions = Quorum::of(witnesses.len()).suspicions;
    for witness in witnesses.iter().take(suspicions) {
        log.suspect(witness, lost, 2_000);
    }
    assert_eq!(log.fleet.members().contains_key(lost), witnesses.is_empty());
    for member in log.fleet.members().values() {
        let remaining = member
            .witnesses
            .iter()
            .filter(|witness| *witness != lost)
            .count();
        let needed = Quorum::of(member.witnesses.len()).renewals;
        assert!(
            remaining >= needed,
            "{size} members, {lost} lost: {member:?}"
        );
    }
}
