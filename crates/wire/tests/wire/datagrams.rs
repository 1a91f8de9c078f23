//! Encoding of datagrams and protection against replay.

use std::collections::BTreeSet;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wire::Datagram;
use wire::DatagramError;
use wire::Declarations;
use wire::Heartbeat;
use wire::HeartbeatAnswer;
use wire::MAX_DATAGRAM_BYTES;
use wire::MemberLoads;
use wire::ReplayGuard;
use wire::decode_datagram;
use wire::encode_datagram;

use crate::link_pair::secret;

fn declarations() -> Declarations {
    Declarations {
        age_ms: 1_500,
        position: 1_000_000,
    }
}

fn heartbeat() -> Datagram {
    Datagram::Heartbeat(Heartbeat {
        vm: "vm-123".to_owned(),
        incarnation: 100_000,
        sequence: 86_400,
        sent_ms: 86_400_000,
        offset: 1_000_000,
        declarations: Some(declarations()),
    })
}

fn answer() -> Datagram {
    Datagram::HeartbeatAnswer(HeartbeatAnswer {
        witness: "vm-456".to_owned(),
        witness_incarnation: 100_001,
        incarnation: 100_000,
        sequence: 86_400,
        contact: true,
        renewal: true,
        offset: 1_000_000,
        declarations: Some(declarations()),
    })
}

fn loads() -> Datagram {
    Datagram::MemberLoads(MemberLoads {
        vm: "vm-123".to_owned(),
        incarnation: 100_000,
        sequence: 86_400,
        members: vec![100_000, 100_001],
        slots_permille: vec![3_500, 0],
        ages_ms: vec![0, 2_000],
        capacities: Vec::new(),
    })
}

#[test]
fn capacities_arrive_with_loads() {
    let Datagram::MemberLoads(mut loads) = loads() else {
        unreachable!("loads are loads");
    };
    loads.capacities = vec![0, 1_251];
    let datagram = Datagram::MemberLoads(loads);
    let encoded = encode_datagram(&secret(1), &datagram);
    assert_eq!(decode_datagram(&secret(1), &encoded), Ok(datagram));
}

#[test]
fn datagrams_arrive_as_they_were_sent() {
    let lengths = [heartbeat(), answer(), loads()].map(|datagram| {
        let encoded = encode_datagram(&secret(1), &datagram);
        assert_eq!(decode_datagram(&secret(1), &encoded), Ok(datagram));
        encoded.len()
    });
    insta::assert_debug_snapshot!(lengths);
}

#[test]
fn modified_datagrams_are_rejected() {
    let encoded = encode_datagram(&secret(1), &heartbeat());
    for length in 0..encoded.len() {
        assert!(
            decode_datagram(&secret(1), &encoded[..length]).is_err(),
            "{length} bytes"
        );
    }
    for bit in 0..encoded.len() * 8 {
        let mut changed = encoded.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert!(decode_datagram(&secret(1), &changed).is_err(), "bit {bit}");
    }
}

#[test]
fn each_reason_to_drop_a_datagram_is_reported() {
    let mut encoded = encode_datagram(&secret(1), &heartbeat());
    let check = |bytes: &[u8]| decode_datagram(&secret(1), bytes).unwrap_err();
    assert_eq!(
        decode_datagram(&secret(2), &encoded),
        Err(DatagramError::Unauthenticated)
    );
    assert_eq!(check(&[]), DatagramError::Malformed);
    assert_eq!(
        check(&[0; MAX_DATAGRAM_BYTES + 1]),
        DatagramError::Oversized
    );
    encoded[0] = 2;
    assert_eq!(check(&encoded), DatagramError::UnsupportedVersion);
}

#[test]
fn random_bytes_are_rejected() {
    for seed in 0..20_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut bytes: Vec<u8> = (0..rng.random_range(0..300))
            .map(|_| rng.random())
            .collect();
        if let Some(version) = bytes.first_mut() {
            *version = 1;
        }
        assert!(decode_datagram(&secret(1), &bytes).is_err(), "seed {seed}");
    }
}

#[test]
fn replay_guard_accepts_each_recent_number_once() {
    fn property(numbers: Vec<u8>) -> bool {
        let mut guard = ReplayGuard::default();
        let mut seen = BTreeSet::new();
        numbers.into_iter().map(u64::from).all(|number| {
            let newest = seen.last().copied().unwrap_or(0);
            let expected = !seen.contains(&number) && number + 64 > newest;
            seen.insert(number);
            guard.accept(&"vm-1".to_owned(), 5, number) == expected
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 1))
        .tests(2000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn replay_guard_rejects_earlier_incarnations() {
    let mut guard = ReplayGuard::default();
    let vm = "vm-1".to_owned();
    assert!(guard.accept(&vm, 5, 10));
    assert!(guard.accept(&vm, 6, 1));
    assert!(!guard.accept(&vm, 5, 11));
    assert!(guard.accept(&"vm-2".to_owned(), 5, 10));
    guard.retain(|vm| vm != "vm-1");
    assert!(guard.accept(&vm, 5, 10));
}
