//! Unavailable times of keys, computed from observed requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use standin::MonotonicUs;
use standin::Observation;

/// Returns the longest unavailable time of each of `keys` between `from_us` and `until_us`, in milliseconds.
///
/// A key is unavailable from the time a request was due until the answer to the next acknowledged request
/// that was due at the same time or later. Without such a request, the key is unavailable until `until_us`.
pub(crate) fn longest_unavailability_ms(
    observations: &[Observation],
    keys: &BTreeSet<String>,
    from_us: MonotonicUs,
    until_us: MonotonicUs,
) -> BTreeMap<String, f64> {
    let mut by_key: BTreeMap<&String, Vec<&Observation>> = BTreeMap::new();
    for observation in observations {
        let Some(key) = &observation.key else {
            continue;
        };
        if keys.contains(key) && (from_us..until_us).contains(&observation.due_us) {
            by_key.entry(key).or_default().push(observation);
        }
    }
    keys.iter()
        .map(|key| {
            let requests = by_key.remove(key).unwrap_or_default();
            (key.clone(), longest_gap_ms(requests, until_us))
        })
        .collect()
}

fn longest_gap_ms(mut requests: Vec<&Observation>, until_us: MonotonicUs) -> f64 {
    requests.sort_by_key(|request| request.due_us);
    let mut unavailable_since_us = None;
    let mut longest_us = 0;
    for request in requests {
        let started_us = *unavailable_since_us.get_or_insert(request.due_us);
        if request.is_acknowledged()
            && let Some(answered_us) = request.answered_us
        {
            longest_us = longest_us.max(answered_us.saturating_sub(started_us));
            unavailable_since_us = None;
        }
    }
    if let Some(started_us) = unavailable_since_us {
        longest_us = longest_us.max(until_us.saturating_sub(started_us));
    }
    longest_us as f64 / 1_000.0
}

/// Returns the smallest value that at least `fraction` (0 to 1) of the values do not exceed, or NaN for no values.
pub(crate) fn percentile(values: &[f64], fraction: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (fraction * sorted.len() as f64).ceil() as usize;
    let index = index.clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}
