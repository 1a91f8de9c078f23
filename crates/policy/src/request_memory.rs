//! Memory of the requests that a home has run or runs.

use std::collections::BTreeSet;
use std::time::Duration;

use ids::RequestId;
use ids::Unit;

use crate::BeginDecision;
use crate::ExportedMemory;
use crate::Fingerprint;
use crate::IdempotencyKey;
use crate::MemoryBounds;
use crate::NewRequest;
use crate::RequestState;
use crate::StatusReply;
use crate::ownership_times::OwnershipTimes;
use crate::ownership_times::milliseconds;
use crate::request_record::RequestRecord;
use crate::request_records::RecordNumber;
use crate::request_records::RequestRecords;

/// Divisor of [`MemoryBounds::count`] for the part that new requests leave free, so that requests can
/// still be barred.
const BARRED_RESERVE_DIVISOR: usize = 8;

/// Memory of the requests of a home, which runs each at most once and keeps answers for retries.
///
/// **At most once by id.** A request is not run if its id belongs to a request that runs, that was
/// answered and is not acknowledged, or that was barred. An entry acknowledges only ids that it never
/// sends again.
///
/// **At most once by idempotency key.** Let `m` be [`MemoryBounds::clock_margin`], the largest error of
/// any home's wall clock. The creation time of a key is the timestamp in its UUID. If a home accepts a
/// key when its clock shows `u`, the creation time is at most `u + m`, since a later one gives
/// [`BeginDecision::BadKey`].
/// (1) *Forgotten keys.* A key is forgotten [`MemoryBounds::keep_key`] after its request ended. At that
/// moment the clock of any home shows at least `u + keep_key - 2 * m`. A key that is not in the memory
/// is not run if its creation time is at least `keep_key - 3 * m` ago, which covers every forgotten key.
/// (2) *Loss of the previous owner.* The previous owner accepted keys until its lease ended, so their
/// creation times are at most `3 * m` after the time that the new owner's clock showed at the beginning
/// of its ownership. A key that was created no later than that is not run unless it is in the memory or
/// is known never to have been dispatched.
/// (3) *Bounds.* A full memory accepts no new requests, and forgets none.
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

    /// Records that the home owns `unit` since `unix_ms`, without knowledge of requests that ran elsewhere before.
    ///
    /// Requests that ran here while it owned the unit earlier stay known.
    pub fn add_unit(&mut self, unit: Unit, unix_ms: u64) {
        self.ownership.begin(unit, unix_ms);
    }

    /// Returns the requests of `unit`, to be sent to the next owner in a planned move.
    ///
    /// Call it when no request of the unit runs; one that still runs is exported as lost.
    pub fn export(&self, now: Duration, unit: &Unit) -> ExportedMemory<A> {
        let keep_key = self.bounds.keep_key;
        ExportedMemory {
            owned_since_unix_ms: self.ownership.since(Some(unit)),
            requests: self
                .records
                .of_unit(unit)
                .into_iter()
                .map(|number| self.records.get(number).export(now, keep_key))
                .collect(),
        }
    }

    /// Imports the requests that the previous owner of `unit` exported, even beyond the bounds.
    ///
    /// Requests that ran here while the home owned the unit earlier stay known.
    pub fn import(&mut self, now: Duration, unit: &Unit, memory: ExportedMemory<A>) {
        self.add_unit(unit.clone(), memory.owned_since_unix_ms);
        for request in memory.requests {
            self.import_record(RequestRecord::import(now, unit, request));
        }
    }

    /// Adds a record, merged with those of this home that share an id or the key with it.
    fn import_record(&mut self, mut record: RequestRecord<A>) {
        let by_key = record.key.as_ref().map(|(key, _)| key);
        let by_key = by_key.and_then(|key| self.records.by_key(key));
        let by_id = record.ids.iter().filter_map(|id| self.records.by_id(id));
        let known: BTreeSet<RecordNumber> = by_id.chain(by_key).collect();
        for number in known {
            if let Some(known) = self.records.remove(number) {
                record.merge(known);
            }
        }
        self.records.insert(record);
    }

    /// Decides whether a request runs, and records it if so; `unix_ms` is the time of the wall clock.
    pub fn begin(&mut self, now: Duration, unix_ms: u64, request: NewRequest) -> BeginDecision<A> {
        self.records.expire(now);
        if let Some(number) = self.records.by_id(&request.id) {
            if !self.may_run_again(number, &request) {
                return self.decide_repeated(number);
            }
            self.records.remove(number);
        }
        if let Some(idempotency) = &request.idempotency {
            if let Some(number) = self.records.by_key(&idempotency.key) {
                return self.decide_repeated_key(number, request.id, &idempotency.fingerprint);
            }
            if self.time_until_valid(unix_ms, &idempotency.key) > Duration::ZERO {
                return BeginDecision::BadKey;
            }
            let unit = request.unit.as_ref();
            let known_since = self.ownership.known_since(&self.bounds, unix_ms, unit);
            if idempotency.key.created_unix_ms() <= known_since {
                return BeginDecision::Unknown;
            }
        }
        if self.is_full(self.bounds.count - self.bounds.count / BARRED_RESERVE_DIVISOR) {
            return BeginDecision::Full;
        }
        self.insert_running(request);
        BeginDecision::Run
    }

    /// Returns the time until [`RequestMemory::begin`] accepts a key, zero unless it is too far in the
    /// future.
    ///
    /// By waiting for that time, a home can serve callers whose clocks are ahead instead of refusing
    /// them with [`BeginDecision::BadKey`].
    pub fn time_until_valid(&self, unix_ms: u64, key: &IdempotencyKey) -> Duration {
        let latest = unix_ms.saturating_add(milliseconds(self.bounds.clock_margin));
        Duration::from_millis(key.created_unix_ms().saturating_sub(latest))
    }

    /// Records the answer to a request that ran, and returns all ids that wait for it.
    pub fn record_answer(
        &mut self,
        now: Duration,
        id: &str,
        answer: A,
        answer_bytes: usize,
    ) -> Vec<RequestId> {
        let state = RequestState::Answered(answer);
        self.record_end(now, id, state, answer_bytes)
    }

    /// Records that a request may have run but has no answer, and returns all ids that wait for it.
    pub fn record_lost(&mut self, now: Duration, id: &str) -> Vec<RequestId> {
        self.record_end(now, id, RequestState::Lost, 0)
    }

    /// Records that a request did not run and will not, and returns all ids that wait for it.
    ///
    /// Forgets the request and its idempotency key, so that both may be sent again.
    pub fn record_not_run(&mut self, id: &str) -> Vec<RequestId> {
        let Some(number) = self.running_record(id) else {
            return Vec::new();
        };
        let record = self.records.remove(number);
        record.map(|record| record.ids).unwrap_or_default()
    }

    /// Returns the time after the end of a request before which it is not forgotten, unless its entry acknowledges it.
    pub fn remembered_for(&self) -> Duration {
        self.bounds.keep_answer
    }

    /// Returns the outcome of a request, and bars the request from running if it is not known. Such a request has not run, unless
    /// it was forgotten ([`absent_outcome`](crate::absent_outcome)).
    pub fn query_or_bar(&mut self, now: Duration, id: &str) -> StatusReply<A> {
        self.records.expire(now);
        if let Some(number) = self.records.by_id(id) {
            return match &self.records.get(number).state {
                RequestState::Answered(answer) => StatusReply::Answered(answer.clone()),
                RequestState::Barred => StatusReply::Barred,
                RequestState::Lost => StatusReply::Lost,
                RequestState::Running => StatusReply::Running,
            };
        }
        if self.is_full(self.bounds.count) {
            return StatusReply::Full;
        }
        self.insert_barred(now, id);
        StatusReply::Barred
    }

    /// Records that the entry has the answer to a request and will not query the request again.
    ///
    /// The answer is still kept for the idempotency key if the request had one.
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

    /// Forgets the requests that have expired.
    pub fn expire(&mut self, now: Duration) {
        self.records.expire(now);
    }

    /// Returns the estimated size of the memory, in bytes.
    pub fn bytes(&self) -> usize {
        self.records.bytes()
    }

    /// Returns the number of requests, or of ids if that is larger.
    pub fn count(&self) -> usize {
        self.records.count()
    }

    fn is_full(&self, max_count: usize) -> bool {
        self.records.count() >= max_count || self.records.bytes() >= self.bounds.bytes
    }

    /// Reports whether a request may run again under the id of one that may have run but has no answer.
    fn may_run_again(&self, number: RecordNumber, request: &NewRequest) -> bool {
        let record = self.records.get(number);
        let has_key = record.key.is_some() || request.idempotency.is_some();
        request.idempotent && !has_key && matches!(record.state, RequestState::Lost)
    }

    fn decide_repeated(&self, number: RecordNumber) -> BeginDecision<A> {
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

    fn decide_repeated_key(
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
        let begin = self.decide_repeated(number);
        self.records.update(number, |record| record.ids.push(id));
        begin
    }

    fn insert_running(&mut self, request: NewRequest) {
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

    fn insert_barred(&mut self, now: Duration, id: &str) {
        self.records.insert(RequestRecord {
            answer_bytes: 0,
            expires_at: Some(now + self.bounds.keep_key),
            ids: vec![id.to_owned()],
            key: None,
            state: RequestState::Barred,
            unit: None,
        });
    }

    fn running_record(&self, id: &str) -> Option<RecordNumber> {
        let number = self.records.by_id(id)?;
        let is_running = matches!(self.records.get(number).state, RequestState::Running);
        is_running.then_some(number)
    }

    fn record_end(
        &mut self,
        now: Duration,
        id: &str,
        state: RequestState<A>,
        answer_bytes: usize,
    ) -> Vec<RequestId> {
        let Some(number) = self.running_record(id) else {
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
