//! Choice of an upstream for a request of a keyless service.

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::time::Duration;

use ids::VmId;

use crate::Candidate;
use crate::Choice;
use crate::Completion;
use crate::Ticket;

/// Choice of an upstream for a request of a keyless service, at one entry.
pub trait Chooser: Debug {
    /// Chooses an upstream outside `excluded`.
    fn choose(&mut self, now: Duration, excluded: &BTreeSet<VmId>) -> Option<Choice>;

    /// Takes in how a request ended.
    fn record_completion(
        &mut self,
        now: Duration,
        vm: &VmId,
        ticket: Ticket,
        completion: Completion,
    );

    /// Takes in a load report, which may be late or wrong; `load` is from 0 to 1.
    fn record_load(&mut self, now: Duration, vm: &VmId, load: f64);

    /// Replaces the candidates; those that were absent before start slowly.
    fn set_candidates(&mut self, now: Duration, candidates: &[Candidate]);

    /// Takes in that a request goes to `vm`. `ticket` must not be in flight to the same VM.
    fn record_start(&mut self, now: Duration, vm: &VmId, ticket: Ticket);
}
