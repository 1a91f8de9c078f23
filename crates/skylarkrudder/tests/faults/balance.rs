//! Uneven load.

use std::time::Duration;

use serde_json::Value;
use standin::Fleet;
use standin::RequestStream;
use standin::UpstreamOptions;

use crate::scenario::KEYS;
use crate::scenario::Scenario;
use crate::scenario::TIMEOUT;
use crate::scenario::base_stream;

const LOAD: Duration = Duration::from_secs(30);

/// The hot key, which is the only key of a stream with `keys: 1`.
const HOT_KEY: &str = "key-0";

fn orders(keys: u32, rate: f64) -> RequestStream {
    RequestStream {
        keys,
        method: "POST".to_owned(),
        path: "/orders".to_owned(),
        rate,
        service: "ordering".to_owned(),
        ..base_stream()
    }
}

/// Returns the unit that a key belongs to, and its owner.
fn unit_and_owner(fleet: &Fleet, key: &str) -> (String, Option<String>) {
    let vm = fleet.vms().remove(0);
    let operator = fleet.addresses(&vm).unwrap().operator;
    let url = format!("http://{operator}/v1/owner?service=ordering&key={key}");
    let mut answer = ureq::get(url).call().unwrap();
    let report: Value = answer.body_mut().read_json().unwrap();
    let owner = report["owner"]["vm"].as_str().map(str::to_owned);
    (report["unit"].as_str().unwrap().to_owned(), owner)
}

fn is_only_key_of_its_owner(fleet: &Fleet, key: &str) -> bool {
    let (unit, owner_vm) = unit_and_owner(fleet, key);
    let others = (0..KEYS).map(|index| format!("key-{index}"));
    unit == format!("pin:ordering:{key}")
        && owner_vm.is_some()
        && others
            .filter(|other| other != key)
            .all(|other| unit_and_owner(fleet, &other).1 != owner_vm)
}

#[test]
fn hot_key_becomes_the_only_key_of_its_owner() {
    let builder = Scenario::builder().upstreams(UpstreamOptions {
        work_ms: 20,
        ..UpstreamOptions::default()
    });
    Scenario::start_with(builder)
        .with_streams(LOAD, vec![orders(KEYS, 100.0), orders(1, 200.0)])
        .during_load(|scenario| {
            let fleet = &scenario.fleet;
            fleet
                .wait_until(
                    "the hot key is not the only key of its owner",
                    TIMEOUT,
                    || is_only_key_of_its_owner(fleet, HOT_KEY),
                )
                .unwrap();
        })
        .check_trace()
        .check_every_key_is_served();
}

#[test]
fn requests_that_wait_while_their_key_is_pinned_and_moved_run_on_its_owner_only() {
    let builder = Scenario::builder().upstreams(UpstreamOptions {
        slots: 1,
        work_ms: 20,
        ..UpstreamOptions::default()
    });
    Scenario::start_with(builder)
        .with_streams(LOAD, vec![orders(KEYS, 60.0), orders(1, 40.0)])
        .check_trace()
        .check_every_key_is_served();
}
