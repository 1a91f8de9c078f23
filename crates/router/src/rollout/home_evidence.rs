//! What a home observes of its upstream during a roll-out.

use std::time::Duration;

use ids::Offset;
use policy::UpstreamEvidence;

/// Time after the first request of an upstream in which its answers do not count, since its caches and connections are new.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Factor on the time of a request whose caller left before the answer.
///
/// The second copy is sent after a time that few answers exceed, and overtakes the first within another answer's time. The
/// first would have taken longer than that, but it is not known by how much.
const LEFT_FACTOR: u32 = 2;

/// Cumulative evidence on the local upstream for one roll-out.
#[derive(Debug, Default)]
pub(crate) struct HomeEvidence {
    evidence: UpstreamEvidence,
    /// Order of the roll-out, `None` while none of the service is carried out.
    position: Option<Offset>,
    /// Start of the first request on the present upstream, `None` before it.
    serving_since: Option<Duration>,
}

/// How a request on the upstream ended.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Observation {
    /// The upstream answered.
    Answered {
        /// Status of the answer.
        status: u16,
        /// Time on the upstream.
        time: Duration,
    },
    /// The caller left, in most cases since a second copy of the request was answered first. The request would have taken
    /// longer than this time.
    Left {
        /// Time on the upstream until then.
        time: Duration,
    },
    /// The request was sent, but no complete answer to it arrived.
    Lost,
}

impl HomeEvidence {
    /// Begins with a new upstream, of which nothing is known.
    pub(crate) fn restart(&mut self) {
        self.evidence = UpstreamEvidence::default();
        self.serving_since = None;
    }

    /// Collects evidence for the roll-out at a position, or none.
    pub(crate) fn collect_for(&mut self, position: Option<Offset>) {
        if self.position != position {
            self.position = position;
            self.evidence = UpstreamEvidence::default();
        }
    }

    /// Returns the evidence collected so far.
    pub(crate) fn evidence(&self) -> &UpstreamEvidence {
        &self.evidence
    }

    /// Records the start of a request.
    pub(crate) fn record_start(&mut self, now: Duration) {
        self.serving_since.get_or_insert(now);
    }

    /// Reports whether a request that started at `started_at` counts as evidence.
    pub(crate) fn is_counted(&self, started_at: Duration) -> bool {
        let serving_since = self.serving_since.unwrap_or(started_at);
        self.position.is_some() && started_at >= serving_since + SETTLING_TIME
    }

    /// Records how a request on a route ended.
    ///
    /// A request whose caller left counts like an answer after [`LEFT_FACTOR`] times its time. Most of these requests were
    /// overtaken by a second copy, so a slow version would otherwise be judged by its fast answers alone.
    pub(crate) fn record(&mut self, route: &str, observation: Observation) {
        match observation {
            Observation::Answered { status, .. } if status >= 500 => {
                self.evidence.record_failure(route);
            }
            Observation::Answered { time, .. } => self.evidence.record_answer(route, time),
            Observation::Left { time } => {
                self.evidence.record_answer(route, time * LEFT_FACTOR);
            }
            Observation::Lost => self.evidence.record_failure(route),
        }
    }
}
