//! Requests that callers repeat under an idempotency key.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ids::RequestId;
use ids::WorkspaceId;

use crate::Observation;

/// Workspace and idempotency key of a request.
type RequestKey<'a> = (Option<&'a WorkspaceId>, &'a str);

/// The requests under each idempotency key, and the answers that callers got for them.
#[derive(Debug, Default)]
pub(crate) struct Repetitions<'a> {
    by_key: BTreeMap<RequestKey<'a>, Repetition<'a>>,
    /// Keys under which each request id was sent, `None` for requests without one.
    keys_by_id: BTreeMap<&'a RequestId, BTreeSet<Option<RequestKey<'a>>>>,
}

/// The requests under one idempotency key.
#[derive(Debug, Default)]
struct Repetition<'a> {
    /// Ids of the requests whose answers the callers got.
    answered_ids: BTreeSet<&'a RequestId>,
    sent_count: usize,
}

impl<'a> Repetitions<'a> {
    pub(crate) fn new(observations: &'a [Observation]) -> Self {
        let mut repetitions = Self::default();
        for observation in observations {
            let key = request_key(observation);
            if let Some(id) = &observation.request_id {
                let keys = repetitions.keys_by_id.entry(id).or_default();
                keys.insert(key);
            }
            if let Some(key) = key {
                let repetition = repetitions.by_key.entry(key).or_default();
                repetition.sent_count += 1;
                let answer = observation.answer.as_ref();
                let answered_id = answer.map(|answer| &answer.request_id);
                repetition.answered_ids.extend(answered_id);
            }
        }
        repetitions
    }

    /// Reports whether the answer to request `answered_id` is the one that a request gets under its idempotency key.
    ///
    /// The key was sent more than once, all its answers are of the same request, and no caller sent that request under
    /// another key or without one.
    pub(crate) fn is_first_answer(
        &self,
        observation: &Observation,
        answered_id: &RequestId,
    ) -> bool {
        let Some(key) = request_key(observation) else {
            return false;
        };
        let is_same = self.by_key.get(&key).is_some_and(|repetition| {
            repetition.sent_count > 1 && repetition.answered_ids.len() == 1
        });
        let keys = self.keys_by_id.get(answered_id);
        let is_of_another = keys.is_some_and(|keys| keys.iter().any(|sent| *sent != Some(key)));
        is_same && !is_of_another
    }
}

fn request_key(observation: &Observation) -> Option<RequestKey<'_>> {
    let key = observation.idempotency_key.as_deref()?;
    Some((observation.workspace.as_ref(), key))
}
