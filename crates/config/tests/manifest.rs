//! Checks routes by host, ranges of numeric keys and the errors of invalid manifests.

use config::HostRoute;
use config::HostRouteMatch;
use config::KeyRange;
use config::Manifest;
use config::Plans;
use config::Service;
use config::WeightedTarget;
use config::Workspaces;

fn service(shards: u32, numeric_keys: Option<u32>) -> Service {
    Service {
        numeric_keys,
        shards,
        ..Service::default()
    }
}

fn route(prefix: &str, service: &str, weight: u32) -> HostRoute {
    HostRoute {
        name: prefix.to_owned(),
        attempts: 2,
        idempotent: true,
        upload: false,
        open: false,
        prefix: prefix.to_owned(),
        priority: 1,
        target_latency_ms: 200,
        targets: vec![WeightedTarget {
            service: service.to_owned(),
            weight,
        }],
        timeout_ms: 500,
    }
}

fn manifest(revision: u64, routes: Vec<HostRoute>) -> Manifest {
    Manifest {
        plans: Plans {
            hosts: [("app.example".to_owned(), routes)].into(),
            services: [("orders".to_owned(), service(256, Some(65_536)))].into(),
            ..Plans::default()
        },
        revision,
        workspaces: Workspaces::default(),
    }
}

#[test]
fn the_longest_prefix_of_a_host_applies() {
    let routes = vec![route("/a/", "orders", 1), route("/a/b/", "orders", 1)];
    let plans = manifest(1, routes).plans;
    let prefix = |host: &str, path: &str| match plans.host_route(host, path) {
        HostRouteMatch::Found(route) => Some(route.prefix.clone()),
        HostRouteMatch::Absent | HostRouteMatch::Unreadable => None,
    };
    assert_eq!(prefix("app.example", "/a/b/c"), Some("/a/b/".to_owned()));
    assert_eq!(prefix("app.example", "/a/bc"), Some("/a/".to_owned()));
    assert_eq!(prefix("app.example", "/b/"), None);
    assert_eq!(prefix("other.example", "/a/"), None);
}

#[test]
fn ranges_of_shards_cover_all_keys_once() {
    for (shards, keys) in [(1, 1), (4, 10), (256, 65_536), (128, 1_000)] {
        let service = service(shards, Some(keys));
        let mut next = 0;
        for shard in 0..shards {
            let range = service.range_of_shard(shard).unwrap();
            assert_eq!(range.first, next);
            for key in range.first..=range.last {
                assert_eq!(service.shard_of_numeric_key(&key.to_string()), Some(shard));
            }
            next = range.last + 1;
        }
        assert_eq!(next, keys);
        assert_eq!(service.shard_of_numeric_key(&keys.to_string()), None);
        assert_eq!(service.shard_of_numeric_key("-1"), None);
        assert_eq!(service.shard_of_numeric_key(""), None);
    }
}

#[test]
fn ranges_report_cover_and_overlap() {
    let range = |first, last| KeyRange { first, last };
    assert!(range(0, 9).covers(&range(3, 9)));
    assert!(!range(0, 9).covers(&range(3, 10)));
    assert!(range(0, 9).overlaps(&range(9, 20)));
    assert!(!range(0, 9).overlaps(&range(10, 20)));
}

#[test]
fn manifests_are_refused_with_path_and_remedy() {
    let mut report = String::new();
    let mut no_timeout = route("/a/", "orders", 1);
    no_timeout.timeout_ms = 0;
    for manifest in [
        manifest(0, Vec::new()),
        manifest(1, vec![route("a/", "orders", 1)]),
        manifest(1, vec![route("/a", "orders", 1)]),
        manifest(1, vec![route("/a/", "orders", 0)]),
        manifest(1, vec![route("/a/", "unknown", 1)]),
        manifest(1, vec![no_timeout]),
        Manifest {
            plans: Plans {
                services: [("orders".to_owned(), service(256, Some(100)))].into(),
                ..manifest(1, vec![route("/a/", "orders", 1)]).plans
            },
            ..manifest(1, Vec::new())
        },
    ] {
        report.push_str(&format!("{}\n", manifest.check().unwrap_err()));
    }
    insta::assert_snapshot!(report);
}
