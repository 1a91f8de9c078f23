//! Checks that requests that crash upstreams are identified and isolated.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use policy::Content;
use policy::CrashObservation;
use policy::QuarantineAction;
use policy::REFUSAL_TIME;
use policy::SUSPICION_TIME;
use policy::StartDecision;
use policy::Suspects;
use policy::SuspicionLevel;
use policy::isolation_home;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: Duration = Duration::from_secs(1);

#[test]
fn decisions_about_suspects() {
    let mut suspects = Suspects::default();
    let mut log = Vec::new();
    for (ticket, fingerprint) in [(1, "poison"), (2, "good"), (3, "good")] {
        log.push(format!(
            "{:?}",
            suspects.try_start(NOW, ticket, fingerprint)
        ));
    }
    log.push(format!("{:?}", suspects.record_crash(NOW)));
    log.push(format!("alone: {:?}", suspects.try_start(NOW, 4, "good")));
    log.push(format!("beside: {:?}", suspects.try_start(NOW, 5, "other")));
    log.push(format!("cleared: {:?}", suspects.record_finish(4, true)));
    log.push(format!("beside: {:?}", suspects.try_start(NOW, 5, "other")));
    log.push(format!("waits: {:?}", suspects.try_start(NOW, 6, "poison")));
    log.push(format!(
        "held back: {:?}",
        suspects.try_start(NOW, 7, "other")
    ));
    suspects.record_finish(5, true);
    log.push(format!("alone: {:?}", suspects.try_start(NOW, 6, "poison")));
    log.push(format!("{:?}", suspects.record_crash(NOW)));
    log.push(format!("{:?}", suspects.try_start(NOW, 8, "poison")));
    log.push(format!(
        "{:?}",
        suspects.action_for(NOW + SUSPICION_TIME, "poison")
    ));
    insta::assert_snapshot!(log.join("\n"));
}

#[test]
fn a_suspect_that_waits_to_run_alone_can_be_cancelled() {
    let mut suspects = Suspects::default();
    suspects.set_fleet_levels(BTreeMap::from([("s".to_owned(), SuspicionLevel::Suspect)]));
    suspects.try_start(NOW, 1, "free");
    assert_eq!(suspects.try_start(NOW, 2, "s"), StartDecision::Wait);
    assert_eq!(suspects.try_start(NOW, 3, "free"), StartDecision::Wait);
    suspects.cancel_wait(2);
    assert_eq!(suspects.try_start(NOW, 3, "free"), StartDecision::Started);
    suspects.set_fleet_levels(BTreeMap::from([("s".to_owned(), SuspicionLevel::Refused)]));
    assert_eq!(suspects.action_for(NOW, "s"), QuarantineAction::Refuse);
    suspects.clear("s");
    assert_eq!(suspects.action_for(NOW, "s"), QuarantineAction::Free);
}

/// Lets the upstream crash while a request runs, and again while it runs alone as a suspect.
fn crash_alone(suspects: &mut Suspects, now: Duration, fingerprint: &str) {
    for alone in [false, true] {
        let start = suspects.try_start(now, 1, fingerprint);
        assert_eq!(start, StartDecision::Started);
        let fingerprint = fingerprint.to_owned();
        assert_eq!(
            suspects.record_crash(now),
            [CrashObservation { alone, fingerprint }]
        );
    }
}

// Guards against the refusal of harmless requests that were running, alone or with equal ones, during a crash they did not cause.
#[test]
fn a_single_crash_refuses_no_request() {
    for equal_requests in 1..4 {
        let mut suspects = Suspects::default();
        for ticket in 0..equal_requests {
            suspects.try_start(NOW, ticket, "popular");
        }
        let observed = suspects.record_crash(NOW);
        let fingerprint = "popular".to_owned();
        let alone = false;
        assert_eq!(observed, [CrashObservation { alone, fingerprint }]);
        assert_eq!(
            suspects.action_for(NOW, "popular"),
            QuarantineAction::RunAlone
        );
        let start = suspects.try_start(NOW, 9, "popular");
        assert_eq!(start, StartDecision::Started);
        assert_eq!(suspects.record_finish(9, true).as_deref(), Some("popular"));
        assert_eq!(suspects.action_for(NOW, "popular"), QuarantineAction::Free);
    }
}

// Guards against a wrong verdict that lasts as long as the suspicion.
#[test]
fn a_refused_request_runs_alone_again_after_a_while() {
    let mut suspects = Suspects::default();
    crash_alone(&mut suspects, NOW, "s");
    let later = NOW + REFUSAL_TIME;
    let just_before = later.saturating_sub(Duration::from_millis(1));
    assert_eq!(
        suspects.action_for(just_before, "s"),
        QuarantineAction::Refuse
    );
    assert_eq!(suspects.action_for(later, "s"), QuarantineAction::RunAlone);
    suspects.try_start(later, 2, "s");
    let observed = suspects.record_crash(later);
    assert!(observed[0].alone);
    assert_eq!(suspects.action_for(later, "s"), QuarantineAction::Refuse);
    let again = later + REFUSAL_TIME;
    suspects.try_start(again, 3, "s");
    suspects.record_finish(3, true);
    assert_eq!(suspects.action_for(again, "s"), QuarantineAction::Free);
}

#[test]
fn clearing_a_recorded_suspect_also_clears_the_homes_own_observation() {
    let mut suspects = Suspects::default();
    crash_alone(&mut suspects, NOW, "s");
    suspects.set_fleet_levels(BTreeMap::new());
    let unrecorded = suspects.action_for(NOW, "s");
    suspects.set_fleet_levels(BTreeMap::from([("s".to_owned(), SuspicionLevel::Refused)]));
    suspects.set_fleet_levels(BTreeMap::new());
    let cleared = suspects.action_for(NOW, "s");
    assert_eq!(
        (unrecorded, cleared),
        (QuarantineAction::Refuse, QuarantineAction::Free)
    );
}

/// Several homes, the levels recorded in the log, and callers that repeat requests through any entry.
struct Fleet {
    crash_counts: BTreeMap<String, u32>,
    homes: Vec<Suspects>,
    names: Vec<String>,
    recorded: BTreeMap<String, SuspicionLevel>,
}

impl Fleet {
    fn record(&mut self, observations: Vec<CrashObservation>) {
        for observation in observations {
            let crashes = self
                .crash_counts
                .entry(observation.fingerprint.clone())
                .or_default();
            *crashes += 1;
            let level = if observation.alone || *crashes > 1 {
                SuspicionLevel::Refused
            } else {
                SuspicionLevel::Suspect
            };
            self.recorded.insert(observation.fingerprint, level);
        }
        for home in &mut self.homes {
            home.set_fleet_levels(self.recorded.clone());
        }
    }

    fn clear(&mut self, fingerprint: &str) {
        self.recorded.remove(fingerprint);
        self.crash_counts.remove(fingerprint);
        for home in &mut self.homes {
            home.clear(fingerprint);
        }
    }

    /// Returns the number of crashes per request, and how many harmless requests are refused at the end.
    fn simulate(records: bool, seed: u64) -> (BTreeMap<String, u32>, usize) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let names: Vec<_> = (0..4).map(|index| format!("vm-{index}")).collect();
        let mut fleet = Self {
            crash_counts: BTreeMap::new(),
            homes: names.iter().map(|_| Suspects::default()).collect(),
            names,
            recorded: BTreeMap::new(),
        };
        let mut running: Vec<BTreeMap<u64, String>> = vec![BTreeMap::new(); 4];
        let mut crashes = BTreeMap::new();
        for ticket in 0..2_000 {
            let content = rng.random_range(0..12_u32);
            let fingerprint = if content < 2 {
                format!("poison{content}")
            } else {
                format!("good{content}")
            };
            let mut home = rng.random_range(0..4);
            let suspect =
                fleet.homes[home].action_for(NOW, &fingerprint) == QuarantineAction::RunAlone;
            if suspect {
                let chosen = isolation_home(&fingerprint, fleet.names.iter());
                home = fleet
                    .names
                    .iter()
                    .position(|name| Some(name) == chosen)
                    .expect("a home");
            }
            let start = fleet.homes[home].try_start(NOW, ticket, &fingerprint);
            if start != StartDecision::Started {
                fleet.homes[home].cancel_wait(ticket);
            } else if content < 2 {
                *crashes.entry(fingerprint).or_default() += 1;
                running[home].clear();
                let observations = fleet.homes[home].record_crash(NOW);
                if records {
                    fleet.record(observations);
                }
            } else {
                running[home].insert(ticket, fingerprint);
            }
            let home = rng.random_range(0..4);
            if let Some((ended, _)) = running[home].pop_first()
                && let Some(cleared) = fleet.homes[home].record_finish(ended, true)
            {
                fleet.clear(&cleared);
            }
        }
        let refused = fleet.recorded.iter().filter(|(fingerprint, level)| {
            fingerprint.starts_with("good") && **level == SuspicionLevel::Refused
        });
        (crashes, refused.count())
    }
}

#[test]
fn a_request_crashes_at_most_two_upstreams_and_few_harmless_requests_are_refused() {
    let mut harmless_refused = 0;
    for seed in 0..200 {
        let (crashes, refused) = Fleet::simulate(true, seed);
        assert!(
            crashes.values().all(|count| *count <= 2),
            "seed {seed}: {crashes:?}"
        );
        assert_eq!(crashes.len(), 2, "seed {seed}");
        harmless_refused += refused;
    }
    // A harmless request is refused if it was running during crashes that two others caused.
    assert!(harmless_refused <= 4, "{harmless_refused} of 2000");
}

#[test]
fn a_request_crashes_more_upstreams_when_nothing_is_recorded() {
    let (crashes, _) = Fleet::simulate(false, 0);
    assert!(crashes.values().all(|count| *count > 2), "{crashes:?}");
}

#[test]
fn fingerprints_differ_by_content_and_ignore_the_request_id() {
    let content = Content {
        body: b"3 crates",
        key: Some("shop-1"),
        method: "POST",
        path: "/orders",
        service: "ordering",
        workspace: Some("north"),
    };
    let others = [
        content,
        Content {
            body: b"4 crates",
            ..content
        },
        Content {
            key: None,
            ..content
        },
        Content {
            key: Some(""),
            ..content
        },
        Content {
            method: "PUT",
            ..content
        },
        Content {
            path: "/orderss",
            service: "ordering",
            ..content
        },
        Content {
            path: "s",
            service: "ordering/order",
            ..content
        },
        Content {
            workspace: None,
            ..content
        },
    ];
    let distinct: BTreeSet<_> = others.iter().map(Content::fingerprint).collect();
    assert_eq!(distinct.len(), others.len());
    insta::assert_snapshot!(content.fingerprint());
}
