//! Sends the requests of one stream.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time;
use tokio::time::Instant;
use uuid::Uuid;

use crate::Observation;
use crate::RequestStream;
use crate::caller::Client;
use crate::caller::KeyDistribution;
use crate::caller::LoadRequest;
use crate::monotonic_us;

/// Minimum delay before a retry, also used if the refusal names no delay.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sends the requests of a stream, each at its arrival time, whether or not earlier ones have been answered.
pub(crate) async fn run_stream(
    client: Arc<Client>,
    stream: RequestStream,
    seed: u64,
    duration: Duration,
    tx: UnboundedSender<Observation>,
) {
    assert!(stream.rate > 0.0, "the rate of a stream must be above 0");
    let stream = Arc::new(stream);
    let keys = KeyDistribution::new(stream.keys, stream.skew);
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let start_us = monotonic_us();
    let mut due = arrival_gap(stream.rate, &mut rng);
    while due < duration {
        time::sleep_until(start + due).await;
        let due_us = start_us + u64::try_from(due.as_micros()).unwrap_or(u64::MAX);
        let request = create_request(&stream, &keys, due_us, &mut rng);
        let request_rng = StdRng::seed_from_u64(rng.random());
        let (client, stream_of_request, tx) =
            (Arc::clone(&client), Arc::clone(&stream), tx.clone());
        tokio::spawn(async move {
            send_with_retries(&client, &stream_of_request, &request, request_rng, &tx).await;
        });
        due += arrival_gap(stream.rate, &mut rng);
    }
}

/// Returns the time to the next arrival of a Poisson process.
fn arrival_gap(rate: f64, rng: &mut impl Rng) -> Duration {
    let uniform = rng.random::<f64>();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}

fn create_request(
    stream: &RequestStream,
    keys: &KeyDistribution,
    due_us: u64,
    rng: &mut impl Rng,
) -> LoadRequest {
    let body = match stream.is_idempotent() {
        true => String::new(),
        false => Uuid::new_v4().to_string(),
    };
    LoadRequest {
        body,
        due_us,
        idempotency_key: stream.idempotency_keys.then(|| Uuid::now_v7().to_string()),
        key: keys.sample(rng),
    }
}

/// Sends a request until it is acknowledged, is not safe to retry, or has used up its attempts.
async fn send_with_retries(
    client: &Client,
    stream: &RequestStream,
    request: &LoadRequest,
    mut rng: StdRng,
    tx: &UnboundedSender<Observation>,
) {
    for remaining_attempts in (0..stream.attempts).rev() {
        let observation = client.send(stream, request, &mut rng).await;
        let delay = retry_delay(&observation);
        // The receiver is dropped only after all senders, so this send cannot fail.
        let _ = tx.send(observation);
        match delay {
            Some(delay) if remaining_attempts > 0 => time::sleep(delay).await,
            _ => return,
        }
    }
}

/// Returns the delay before a retry, or `None` if the request was acknowledged or is not safe to retry.
fn retry_delay(observation: &Observation) -> Option<Duration> {
    let is_safe =
        observation.is_not_run() || observation.idempotent || observation.idempotency_key.is_some();
    if observation.is_acknowledged() || !is_safe {
        return None;
    }
    let requested_delay = observation.retry_after_ms.map(Duration::from_millis);
    Some(requested_delay.unwrap_or_default().max(MIN_RETRY_DELAY))
}
