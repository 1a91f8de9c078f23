//! Memory of requests at their home.

use std::time::Duration;

use ids::RequestId;
use ids::Unit;

use crate::Asked;
use crate::BeginDecision;
use crate::Fingerprint;
use crate::IdempotencyKey;
use crate::MemoryBounds;
use crate::NewRequest;
use crate::RequestState;
use crate::UnitMemory;
use crate::ownership_times::OwnershipTimes;
use crate::ownership_times::milliseconds;
use crate::request_record::RequestRecord;
use crate::request_records::RecordNumber;
use crate::request_records::RequestRecords;

/// Part of the count that is left for requests to be barred, one in this many.
const BARRED_DIVISOR: usize = 8;

/// Memory of requests at their home, so that each runs at most once and each answer can be had again.
///
/// **At most once by id.** An id that runs, was answered and is not acknowledged, or was barred, does
/// not run. An entry acknowledges only what it never sends again.
///
/// **At most once by idempotency key.** Let `m` be [`MemoryBounds::clock_margin`], the largest error of
/// any home's wall clock. A key that a home accepts at time `u` of its clock was made, by its own
/// statement, at most at `u + m`, since a later one is a [`BeginDecision::BadKey`].
/// (1) *Forgotten keys.* A key is forgotten [`MemoryBounds::keep_key`] after its request ended, so when
/// a clock of any home shows at least `u + keep_key - 2 * m`. A key that is not remembered does not run
/// when its statement is older than `keep_key - 3 * m`, which covers every forgotten one.
/// (2) *Loss of the previous owner.* It accepted keys up to the end of its lease, so keys made, by their
/// statement, up to `3 * m` after the time at which the new owner's clock showed the beginning of its
/// ownership. A key older than that does not run unless it is remembered or known to be new.
/// (3) *Bounds.* A full memory takes no new requests, and forgets none.
#[derive(Clone, Debug)]
pub struct RequestMemory<A> {
    bounds: MemoryBounds,
    ownership: OwnershipTimes,
    records: RequestRecords<A>,
}

impl<A: Clone> RequestMemory<A> {
    /// Creates an empty memory of a home that starts at `started_unix_ms`.
    pub fn new(bounds: MemoryBounds, started_unix_ms: u64) -> Self {
        Self {
            bounds,
            ownership: OwnershipTimes::new(started_unix_ms),
            records: RequestRecords::new(),
        }
    }

    /// Takes in that the home owns `unit` since `unix_ms`, and knows nothing of requests before.
    pub fn own(&mut self, unit: Unit, unix_ms: u64) {
        self.ownership.begin(unit, unix_ms);
    }

    /// Takes in that the home no longer owns `unit`, and forgets its requests.
    pub fn disown(&mut self, unit: &Unit) {
        self.ownership.end(unit);
        for number in self.records.of_unit(unit) {
            self.records.remove(number);
        }
    }

    /// Returns what is remembered of `unit`, to send it along in a planned move.
    ///
    /// Call it when no request of the unit runs; one that does is passed on as lost. Then call
    /// [`RequestMemory::disown`].
    pub fn export(&self, now: Duration, unit: &Unit) -> UnitMemory<A> {
        let keep_key = self.bounds.keep_key;
        UnitMemory {
            owned_since_unix_ms: self.ownership.since(Some(unit)),
            requests: self
                .records
                .of_unit(unit)
                .into_iter()
                .map(|number| self.records.get(number).export(now, keep_key))
                .collect(),
        }
    }

    /// Takes over what the previous owner of `unit` remembered, whatever the bounds.
    pub fn import(&mut self, now: Duration, unit: &Unit, memory: UnitMemory<A>) {
        self.disown(unit);
        self.own(unit.clone(), memory.owned_since_unix_ms);
        for remembered in memory.requests {
            let record = RequestRecord::import(now, unit, remembered);
            self.records.insert(record);
        }
    }

    /// Decides whether a request runs; `unix_ms` is the wall clock's time.
    pub fn begin(&mut self, now: Duration, unix_ms: u64, request: NewRequest) -> BeginDecision<A> {
        self.records.expire(now);
        if let Some(number) = self.records.by_id(&request.id) {
            return self.repeat(number);
        }
        if let Some(idempotency) = &request.idempotency {
            if let Some(number) = self.records.by_key(&idempotency.key) {
                return self.repeat_key(number, request.id, &idempotency.fingerprint);
            }
            if self.early_by(unix_ms, &idempotency.key) > Duration::ZERO {
                return BeginDecision::BadKey;
            }
            let unit = request.unit.as_ref();
            let known_since = self.ownership.known_since(&self.bounds, unix_ms, unit);
            if idempotency.key.made_unix_ms() <= known_since && !idempotency.never_dispatched {
                return BeginDecision::Unknown;
            }
        }
        if self.is_full(self.bounds.count - self.bounds.count / BARRED_DIVISOR) {
            return BeginDecision::Full;
        }
        self.run(request);
        BeginDecision::Run
    }

    /// Returns how long a key is too far in the future for [`RequestMemory::begin`] to take it.
    ///
    /// A home that waits for that time serves callers whose clocks are ahead, in place of
    /// [`BeginDecision::BadKey`].
    pub fn early_by(&self, unix_ms: u64, key: &IdempotencyKey) -> Duration {
        let latest = unix_ms.saturating_add(milliseconds(self.bounds.clock_margin));
        Duration::from_millis(key.made_unix_ms().saturating_sub(latest))
    }

    /// Takes in the answer to a request that ran, and returns all ids that wait for it.
    pub fn answered(
        &mut self,
        now: Duration,
        id: &str,
        answer: A,
        answer_bytes: usize,
    ) -> Vec<RequestId> {
        let state = RequestState::Answered(answer);
        self.end(now, id, state, answer_bytes)
    }

    /// Takes in that a request may have run without an answer, and returns all ids that wait for it.
    pub fn lost(&mut self, now: Duration, id: &str) -> Vec<RequestId> {
        self.end(now, id, RequestState::Lost, 0)
    }

    /// Takes in that a request did not run and will not, and returns all ids that wait for it.
    ///
    /// The request and its idempotency key are forgotten, so that they may be sent again.
    pub fn not_run(&mut self, id: &str) -> Vec<RequestId> {
        let Some(number) = self.running(id) else {
            return Vec::new();
        };
        let record = self.records.remove(number);
        record.map(|record| record.ids).unwrap_or_default()
    }

    /// Tells what became of a request, and bars one that has not arrived.
    pub fn ask(&mut self, now: Duration, id: &str) -> Asked<A> {
        self.records.expire(now);
        if let Some(number) = self.records.by_id(id) {
            return match &self.records.get(number).state {
                RequestState::Answered(answer) => Asked::Answered(answer.clone()),
                RequestState::Barred => Asked::NeverSeenNowBarred,
                RequestState::Lost => Asked::Lost,
                RequestState::Running => Asked::Running,
            };
        }
        if self.is_full(self.bounds.count) {
            return Asked::Full;
        }
        self.bar(now, id);
        Asked::NeverSeenNowBarred
    }

    /// Takes in that the entry has the answer to a request and never asks for it again.
    ///
    /// The answer is kept for the idempotency key if the request had one.
    pub fn acknowledge(&mut self, id: &str) {
        let Some(number) = self.records.by_id(id) else {
            return;
        };
        let record = self.records.get(number);
        if record.expires_at.is_none() {
            return;
        }
        if record.key.is_none() {
            self.records.remove(number);
            return;
        }
        self.records
            .update(number, |record| record.ids.retain(|other| other != id));
    }

    /// Forgets what need not be remembered any longer.
    pub fn expire(&mut self, now: Duration) {
        self.records.expire(now);
    }

    /// Returns the bytes that the memory takes.
    pub fn bytes(&self) -> usize {
        self.records.bytes()
    }

    /// Returns the number of requests.
    pub fn count(&self) -> usize {
        self.records.count()
    }

    fn is_full(&self, count: usize) -> bool {
        self.records.count() >= count || self.records.bytes() >= self.bounds.bytes
    }

    fn repeat(&self, number: RecordNumber) -> BeginDecision<A> {
        let record = self.records.get(number);
        match &record.state {
            RequestState::Answered(answer) => BeginDecision::Answered(answer.clone()),
            RequestState::Barred => BeginDecision::Barred,
            RequestState::Lost => BeginDecision::Unknown,
            RequestState::Running => BeginDecision::AlreadyRunning {
                first: record.ids[0].clone(),
            },
        }
    }

    fn repeat_key(
        &mut self,
        number: RecordNumber,
        id: RequestId,
        fingerprint: &Fingerprint,
    ) -> BeginDecision<A> {
        let known = self.records.get(number).key.as_ref();
        if known.is_some_and(|(_, known)| known != fingerprint) {
            return BeginDecision::Conflict;
        }
        if self.is_full(self.bounds.count) {
            return BeginDecision::Full;
        }
        let begin = self.repeat(number);
        self.records.update(number, |record| record.ids.push(id));
        begin
    }

    fn run(&mut self, request: NewRequest) {
        let key: Option<(IdempotencyKey, Fingerprint)> = request
            .idempotency
            .map(|idempotency| (idempotency.key, idempotency.fingerprint));
        self.records.insert(RequestRecord {
            answer_bytes: 0,
            expires_at: None,
            ids: vec![request.id],
            key,
            state: RequestState::Running,
            unit: request.unit,
        });
    }

    fn bar(&mut self, now: Duration, id: &str) {
        self.records.insert(RequestRecord {
            answer_bytes: 0,
            expires_at: Some(now + self.bounds.keep_key),
            ids: vec![id.to_owned()],
            key: None,
            state: RequestState::Barred,
            unit: None,
        });
    }

    fn running(&self, id: &str) -> Option<RecordNumber> {
        let number = self.records.by_id(id)?;
        let is_running = matches!(self.records.get(number).state, RequestState::Running);
        is_running.then_some(number)
    }

    fn end(
        &mut self,
        now: Duration,
        id: &str,
        state: RequestState<A>,
        answer_bytes: usize,
    ) -> Vec<RequestId> {
        let Some(number) = self.running(id) else {
            return Vec::new();
        };
        let keep_key = self.bounds.keep_key;
        let keep_answer = self.bounds.keep_answer;
        self.records.update(number, |record| {
            let keep_for = record.key.as_ref().map_or(keep_answer, |_| keep_key);
            record.expires_at = Some(now + keep_for);
            record.state = state;
            record.answer_bytes = answer_bytes;
        });
        self.records.get(number).ids.clone()
    }
}
