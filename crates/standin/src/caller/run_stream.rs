//! The arrivals of one stream.

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

/// Time before a repetition that no refusal names a time for.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sends the requests of a stream, each at its time whether or not earlier ones have been answered.
pub(crate) async fn run_stream(
    client: Arc<Client>,
    stream: RequestStream,
    seed: u64,
    duration: Duration,
    tx: UnboundedSender<Observation>,
) {
    assert!(stream.rate > 0.0, "name a rate above 0");
    let stream = Arc::new(stream);
    let keys = KeyDistribution::new(stream.keys, stream.skew);
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let start_us = monotonic_us();
    let mut due = arrival_gap(stream.rate, &mut rng);
    while due < duration {
        time::sleep_until(start + due).await;
        let due_us = start_us + u64::try_from(due.as_micros()).unwrap_or(u64::MAX);
        let attempt = attempt(&stream, &keys, due_us, &mut rng);
        let own_rng = StdRng::seed_from_u64(rng.random());
        let (client, stream_of_request, tx) =
            (Arc::clone(&client), Arc::clone(&stream), tx.clone());
        tokio::spawn(async move {
            deliver(&client, &stream_of_request, &attempt, own_rng, &tx).await;
        });
        due += arrival_gap(stream.rate, &mut rng);
    }
}

/// Returns the time to the next arrival of a Poisson process.
fn arrival_gap(rate: f64, rng: &mut impl Rng) -> Duration {
    let uniform = rng.random::<f64>();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}

fn attempt(
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
        key: keys.choose(rng),
    }
}

/// Sends a request until it is answered, is no longer safe to repeat, or has been sent often enough.
async fn deliver(
    client: &Client,
    stream: &RequestStream,
    attempt: &LoadRequest,
    mut rng: StdRng,
    tx: &UnboundedSender<Observation>,
) {
    for left in (0..stream.attempts).rev() {
        let observation = client.send(stream, attempt, &mut rng).await;
        let delay = retry_delay(&observation);
        // The receiver lives until every sender is gone.
        let _ = tx.send(observation);
        match delay {
            Some(delay) if left > 0 => time::sleep(delay).await,
            _ => return,
        }
    }
}

/// Returns the time after which a request may be repeated, or `None` when it may not, or need not.
fn retry_delay(observation: &Observation) -> Option<Duration> {
    let is_safe =
        observation.is_not_run() || observation.idempotent || observation.idempotency_key.is_some();
    if observation.is_acknowledged() || !is_safe {
        return None;
    }
    let asked = observation.retry_after_ms.map(Duration::from_millis);
    Some(asked.unwrap_or_default().max(RETRY_DELAY))
}
