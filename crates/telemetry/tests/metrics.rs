//! Metrics in the text exposition format.

use std::time::Duration;

use telemetry::Metrics;

#[test]
fn metrics_are_read_as_text() {
    let metrics = Metrics::new().unwrap();
    metrics.count_request("r-1", "answered", "");
    metrics.count_request("r-1", "not-run", "overloaded");
    metrics.count_event("log", "failed");
    metrics.set_gauge("home_queued", 3);
    metrics.record_duration("queue", Duration::from_millis(7));
    insta::assert_snapshot!(metrics.encode_text().unwrap());
}

#[test]
fn the_number_of_labels_is_bounded() {
    let metrics = Metrics::new().unwrap();
    for number in 0..1_000 {
        metrics.count_request(&format!("route-{number}"), "answered", "");
    }
    let text = metrics.encode_text().unwrap();
    let lines = text.lines().filter(|line| line.contains("route="));
    assert_eq!(lines.count(), 65);
    assert!(text.contains("route=\"other\"} 936"), "{text}");
}
