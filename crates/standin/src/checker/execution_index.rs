//! Index of executions by request.

use std::collections::BTreeMap;

use crate::Execution;
use crate::Observation;
use crate::Trace;

/// Index of started executions by request id and by body hash.
#[derive(Debug)]
pub(crate) struct ExecutionIndex<'a> {
    by_body: BTreeMap<&'a str, Vec<&'a Execution>>,
    by_id: BTreeMap<&'a str, Vec<&'a Execution>>,
}

impl<'a> ExecutionIndex<'a> {
    pub(crate) fn new(trace: &'a Trace) -> Self {
        let mut index = Self {
            by_body: BTreeMap::new(),
            by_id: BTreeMap::new(),
        };
        let started = trace
            .executions
            .iter()
            .filter(|execution| execution.was_started());
        for execution in started {
            let same_body = index.by_body.entry(&execution.body_hash).or_default();
            same_body.push(execution);
            let same_id = index.by_id.entry(&execution.request_id).or_default();
            same_id.push(execution);
        }
        index
    }

    /// Returns the started executions of an observed request. Finds them by the body hash, which is present only if no
    /// other request has the same body, and by the request id otherwise.
    pub(crate) fn executions_of(&self, observation: &Observation) -> &[&'a Execution] {
        let found = match (&observation.body_hash, &observation.request_id) {
            (Some(body_hash), _) => self.by_body.get(body_hash.as_str()),
            (None, Some(id)) => self.by_id.get(id.as_str()),
            (None, None) => None,
        };
        found.map_or(&[], Vec::as_slice)
    }

    /// Returns the started executions with a request id.
    pub(crate) fn executions_with_id(&self, id: &str) -> &[&'a Execution] {
        self.by_id.get(id).map_or(&[], Vec::as_slice)
    }
}
