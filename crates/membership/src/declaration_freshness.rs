//! Detection of reads of the declarations of operators that were lost.

use std::time::Duration;

use ids::Offset;

use crate::KnownDeclarations;
use crate::times::DECLARATION_CHECK_INTERVAL;

/// Tracks up to which time this process knows all declarations of operators.
///
/// Load pattern: a service that was silent may have lost the waiting reads of all processes at once. Nothing else tells them, as
/// operators do not call any process. So a process checks where the declarations end once it has had no such knowledge, of its own
/// or from a peer, for a time that differs between processes. The first ones to check thereby spare their peers the check.
#[derive(Debug, Default)]
pub(crate) struct DeclarationFreshness {
    /// Time since which declarations that this process has not read have been known to exist.
    behind_since: Option<Duration>,
    /// Latest time until which this process knows all declarations, `None` before the first read.
    complete_until: Option<Duration>,
    /// Latest known end of the declarations, and the latest time at which they are known to have ended there.
    end: Option<(Offset, Duration)>,
    next_check: Duration,
    /// Position up to which this process has read, `None` before the first read.
    position: Option<Offset>,
}

/// What to do about reads of declarations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FreshnessStep {
    /// Checks where the declarations end.
    Check,
    /// Repeats the read, since it has not returned declarations that are known to exist.
    Repeat,
}

impl DeclarationFreshness {
    /// Records that this process has read all declarations before `position`, which ended there at `at`.
    pub(crate) fn record_read(&mut self, at: Duration, position: Offset) {
        self.position = self.position.max(Some(position));
        self.record_end(at, position);
    }

    /// Records that the declarations ended at `position` at `at`.
    pub(crate) fn record_end(&mut self, at: Duration, position: Offset) {
        match &mut self.end {
            Some((known, known_at)) if *known == position => *known_at = at.max(*known_at),
            Some((known, _)) if *known > position => {}
            end => *end = Some((position, at)),
        }
        if let Some((end, at)) = self.end
            && self.position >= Some(end)
        {
            self.complete_until = self.complete_until.max(Some(at));
        }
    }

    /// Records what a peer knows.
    pub(crate) fn record_peer(&mut self, now: Duration, known: KnownDeclarations) {
        let age = Duration::from_millis(known.age_ms);
        self.record_end(now.saturating_sub(age), known.position);
    }

    /// Returns what this process knows, for peers.
    pub(crate) fn known(&self, now: Duration) -> Option<KnownDeclarations> {
        let (position, at) = self.end?;
        let age = now.saturating_sub(at).as_millis();
        Some(KnownDeclarations {
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            position,
        })
    }

    /// Returns the latest time until which this process knows all declarations, or `None` before the first read.
    pub(crate) fn complete_until(&self) -> Option<Duration> {
        self.complete_until
    }

    /// Reports whether declarations exist that this process has not read.
    pub(crate) fn lacks_some(&self) -> bool {
        self.position < self.end.map(|(end, _)| end)
    }

    /// Returns the step that is due, at most once in its interval. Declarations that are known to exist may be missing for
    /// `overdue_after`, and knowledge may be as old as `max_age`.
    pub(crate) fn next_step(
        &mut self,
        now: Duration,
        overdue_after: Duration,
        max_age: Duration,
    ) -> Option<FreshnessStep> {
        let complete_until = self.complete_until?;
        if self.lacks_some() {
            let since = *self.behind_since.get_or_insert(now);
            let is_overdue = now >= since + overdue_after;
            if is_overdue {
                self.behind_since = None;
            }
            return is_overdue.then_some(FreshnessStep::Repeat);
        }
        self.behind_since = None;
        let is_due = now >= complete_until + max_age && now >= self.next_check;
        if is_due {
            self.next_check = now + DECLARATION_CHECK_INTERVAL;
        }
        is_due.then_some(FreshnessStep::Check)
    }
}
