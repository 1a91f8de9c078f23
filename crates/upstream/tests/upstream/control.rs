//! Tests of control requests and announcements.

use crate::fake_upstream::FakeUpstream;
use ids::Unit;
use upstream::Announcement;
use upstream::ClientSettings;
use upstream::ControlError;
use upstream::Grant;
use upstream::GrantMessage;
use upstream::UpstreamClient;

fn grants(sequence: u64) -> GrantMessage {
    GrantMessage {
        expiry_ms: 125_456,
        granted: vec![Grant {
            fence: 42,
            unit: Unit::Shard {
                service: "ordering".to_owned(),
                index: 3,
            },
        }],
        holder: "vm-1@42".to_owned(),
        instance: "b9c1".to_owned(),
        revoked: vec![Unit::Shard {
            service: "ordering".to_owned(),
            index: 9,
        }],
        sequence,
        all: false,
    }
}

#[tokio::test]
async fn control_requests_and_answers_match_the_interface() {
    let fake = FakeUpstream::start().await;
    let client = UpstreamClient::new(fake.address, ClientSettings::default());
    let answer = client.update_grants(&grants(7)).await;
    let stale = client.update_grants(&grants(1)).await;
    let draining = client.drain().await;
    let cancelled = client.cancel(&"id-9".to_owned()).await;
    let health = client.fetch_health().await;
    assert!(matches!(stale, Err(ControlError::Stale)));
    let bodies: Vec<_> = fake
        .received()
        .iter()
        .map(|seen| {
            let (head, body) = seen.text.split_once("\r\n\r\n").unwrap();
            format!("{}\n{body}", head.lines().next().unwrap())
        })
        .collect();
    insta::assert_snapshot!(format!(
        "{}\n\n{answer:#?}\n{draining:?}\n{cancelled:?}\n{health:?}",
        bodies.join("\n")
    ));
}

#[test]
fn errors_of_invalid_announcements_name_the_field_and_the_remedy() {
    let good = r#"{"address": "127.0.0.1:9000", "checks_orders": true, "connections": 130, "instance": "b9c1",
        "service": "ordering", "slots": 10, "unknown": []}"#;
    assert_eq!(Announcement::parse(good.as_bytes()).unwrap().slots, 10);
    let mut report = String::new();
    for (from, to) in [
        ("127.0.0.1:9000", "localhost:9000"),
        ("127.0.0.1:9000", "0.0.0.0:9000"),
        ("127.0.0.1:9000", "127.0.0.1:0"),
        (r#""slots": 10"#, r#""slots": 0"#),
        (r#""slots": 10"#, r#""slots": -1"#),
        (r#""slots": 10, "#, ""),
        ("130", "0"),
        ("\"ordering\"", "\"order:ing\""),
        ("b9c1", ""),
        ("true", "\"yes\""),
        ("}", ""),
    ] {
        let error = Announcement::parse(good.replace(from, to).as_bytes()).unwrap_err();
        report += &format!("{from} -> {to}\n    {error}\n");
    }
    insta::assert_snapshot!(report);
}
