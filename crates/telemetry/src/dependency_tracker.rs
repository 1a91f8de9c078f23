//! Availability of dependencies.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use crate::Dependency;
use crate::ProcessEvent;

/// Tracks which dependencies do not answer, and since when.
#[derive(Debug, Default)]
pub struct DependencyTracker {
    lost: Mutex<BTreeMap<(Dependency, String), Duration>>,
}

impl DependencyTracker {
    /// Records that a dependency does not answer. Returns an event if it answered before.
    pub fn record_lost(
        &self,
        now: Duration,
        dependency: Dependency,
        name: &str,
        problem: &str,
    ) -> Option<ProcessEvent> {
        let mut lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (dependency, name.to_owned());
        if lost.contains_key(&key) {
            return None;
        }
        lost.insert(key, now);
        Some(ProcessEvent::DependencyLost {
            dependency,
            name: name.to_owned(),
            problem: problem.to_owned(),
        })
    }

    /// Records that a dependency answers. Returns an event if it did not answer before.
    pub fn record_regained(
        &self,
        now: Duration,
        dependency: Dependency,
        name: &str,
    ) -> Option<ProcessEvent> {
        let mut lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
        if lost.is_empty() {
            return None;
        }
        let since = lost.remove(&(dependency, name.to_owned()))?;
        let lost_ms = now.saturating_sub(since).as_millis();
        Some(ProcessEvent::DependencyRegained {
            dependency,
            name: name.to_owned(),
            lost_ms: u64::try_from(lost_ms).unwrap_or(u64::MAX),
        })
    }

    /// Returns the number of dependencies of a kind that do not answer.
    pub fn count_lost(&self, dependency: Dependency) -> usize {
        let lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
        lost.keys().filter(|(kind, _)| *kind == dependency).count()
    }
}
