//! Publication of the declarations of operators to the log.

use std::collections::BTreeSet;
use std::time::Duration;

use cluster::Body;
use cluster::Document;
use cluster::PendingZones;
use ids::Offset;
use ids::ZoneId;
use ids::generation_of;

use crate::Action;
use crate::Agent;
use crate::FreshnessStep;
use crate::OperatorDeclarations;
use crate::times::DECLARATION_CHECK_AGE;
use crate::times::DECLARATION_CHECK_SPREAD;
use crate::times::DECLARATION_SETTLE_TIME;
use crate::times::DECLARATION_TURN_DELAY;
use crate::times::FIRST_MANIFEST_DELAY;
use crate::times::MAX_FIRST_MANIFEST_DELAY;
use crate::times::MEMBERS_SETTLE_TIME;
use crate::times::UNINFORMED_AFTER;

impl Agent {
    /// Checks or repeats the reads of the declarations of operators when that is due.
    pub(crate) fn keep_declarations_fresh(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let overdue_after = self.read_overdue_after();
        let spread = DECLARATION_CHECK_SPREAD.mul_f64(seed_fraction(self.cfg.seed));
        let max_age = DECLARATION_CHECK_AGE + spread;
        let step = self
            .declaration_freshness
            .next_step(now, overdue_after, max_age);
        actions.extend(step.map(|step| match step {
            FreshnessStep::Check => Action::CheckDeclarations,
            FreshnessStep::Repeat => Action::RepeatDeclarationReads,
        }));
    }

    /// Returns the latest time until which this process knows all declarations of operators, or `None` before it has read any.
    pub fn knows_declarations_until(&self) -> Option<Duration> {
        self.declaration_freshness.complete_until()
    }

    /// Reports whether all declarations of operators are known until a recent time, if this process has read any.
    pub(crate) fn knows_declarations(&self, now: Duration) -> bool {
        let until = self.knows_declarations_until();
        until.is_none_or(|until| {
            now <= until + UNINFORMED_AFTER && !self.declaration_freshness.lacks_some()
        })
    }

    /// Records the current declarations of operators.
    pub(crate) fn set_declarations(&mut self, now: Duration, declarations: OperatorDeclarations) {
        if generation_of(declarations.position) > generation_of(self.declarations.position) {
            self.schedule.declarations_settled_at = now + DECLARATION_SETTLE_TIME;
        }
        if self.declarations != declarations {
            self.declarations = declarations;
            self.rejected_declarations.rollouts.clear();
            self.rejected_declarations.zones.clear();
        }
    }

    /// Publishes the declarations of operators to the log. Processes take turns, and only the first record takes effect.
    pub(crate) fn publish_declarations(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.log.is_healthy(now) {
            return;
        }
        let revision = self.unpublished_revision();
        let zones = self.unpublished_zones(now);
        let rollouts = self.unpublished_rollouts();
        if revision.is_none() && zones.is_empty() && rollouts.is_empty() {
            self.schedule.unpublished_since = None;
            return;
        }
        // Declarations that follow each other do not postpone the turn, and one that was published begins the next.
        let version = self.log.fleet().config_version();
        let since = match self.schedule.unpublished_since {
            Some((since, known)) if known == version => since,
            _ => now,
        };
        self.schedule.unpublished_since = Some((since, version));
        if now < self.publication_time(since) {
            return;
        }
        if let Some(revision) = revision {
            self.publish_manifest(now, revision, actions);
        }
        for (zone, out) in zones {
            self.publish_zone(now, zone, out, actions);
        }
        for (service, order) in rollouts {
            self.publish_rollout(now, service, order, actions);
        }
    }

    /// Returns the revision of the declared manifest if the log lacks it and may accept it.
    pub(crate) fn unpublished_revision(&self) -> Option<u64> {
        let revision = self.declared_revision();
        let published = self.log.fleet().revision();
        (revision > published && revision != self.rejected_declarations.revision)
            .then_some(revision)
    }

    /// Returns the zones whose declared states the log lacks and may accept.
    fn unpublished_zones(&self, now: Duration) -> Vec<(ZoneId, bool)> {
        if self.declarations.manifest.is_none() {
            return Vec::new();
        }
        let pending = self.pending_zones(now);
        let rejected = &self.rejected_declarations.zones;
        let zones = pending
            .iter()
            .filter(|(zone, out)| rejected.get(*zone) != Some(out));
        zones.map(|(zone, out)| (zone.clone(), out)).collect()
    }

    /// Appends the declared manifest, in place of an earlier one that is still pending.
    fn publish_manifest(&mut self, now: Duration, revision: u64, actions: &mut Vec<Action>) {
        if self
            .appends
            .any(|body| published_revision(body) == Some(revision))
        {
            return;
        }
        let Some(mut manifest) = self.declarations.manifest.clone() else {
            return;
        };
        let shards_per_member = self.cfg.shards_per_member;
        self.log
            .fleet()
            .state_shards(&mut manifest, shards_per_member);
        self.appends
            .drop_where(|body| published_revision(body).is_some());
        let body = Body::Publish {
            base: self.log.fleet().plans_version(),
            document: Document::Manifest(manifest),
        };
        self.appends.append(now, body, actions);
    }

    /// Appends the declared state of a zone, in place of an earlier one that is still pending.
    fn publish_zone(&mut self, now: Duration, zone: ZoneId, out: bool, actions: &mut Vec<Action>) {
        let pending_state = |body: &Body| match body {
            Body::Zone { zone: of, out, .. } if *of == zone => Some(*out),
            _ => None,
        };
        if self.appends.any(|body| pending_state(body) == Some(out)) {
            return;
        }
        self.appends
            .drop_where(|body| pending_state(body).is_some());
        let body = Body::Zone {
            base: self.log.fleet().zone_version(&zone),
            out,
            position: self.declarations.position,
            zone,
        };
        self.appends.append(now, body, actions);
    }

    /// Reports whether the log lacks what operators have declared, as far as this process has read it.
    pub fn lacks_declarations(&self) -> bool {
        self.schedule.unpublished_since.is_some()
    }

    /// Returns the time of this process's turn to publish declarations that the log has lacked since `since`.
    fn publication_time(&self, since: Duration) -> Duration {
        let fleet = self.log.fleet();
        let publishers = fleet.ranked_publishers();
        let turn = publishers.iter().position(|vm| **vm == self.cfg.vm);
        let turn = turn.unwrap_or(publishers.len());
        let first_at = match fleet.revision() {
            0 => since.max(self.first_manifest_delay()),
            _ => since,
        };
        first_at + DECLARATION_TURN_DELAY * u32::try_from(turn).unwrap_or(u32::MAX)
    }

    /// Returns the time from the start of this process until which it doesn't publish the first manifest in the log. If numbers
    /// of shards follow from the members, it waits longer while members join.
    fn first_manifest_delay(&self) -> Duration {
        if self.cfg.shards_per_member.is_none() {
            return FIRST_MANIFEST_DELAY;
        }
        let settled_at = self.schedule.members_changed_at + MEMBERS_SETTLE_TIME;
        settled_at.clamp(FIRST_MANIFEST_DELAY, MAX_FIRST_MANIFEST_DELAY)
    }

    /// Returns the zones whose state operators have declared and that the log does not hold yet.
    pub fn pending_zones(&self, now: Duration) -> PendingZones {
        let fleet = self.log.fleet();
        let out: BTreeSet<&ZoneId> = fleet.zones_out().collect();
        let declared: BTreeSet<&ZoneId> = self.declarations.zones_out.iter().collect();
        let differing = declared.symmetric_difference(&out).filter(|zone| {
            let position = fleet.zone_position(zone);
            // Declarations that were read up to the same position do not differ, unless some were lost.
            position < self.declarations.position
                && (declared.contains(*zone) || self.is_withdrawn_after(position, now))
        });
        let states = differing.map(|zone| ((*zone).clone(), declared.contains(*zone)));
        states.collect()
    }

    /// Reports whether operators have withdrawn what they declared at `position`, if the current declarations lack it. After
    /// a restore they may lack it because it was lost.
    fn is_withdrawn_after(&self, position: Offset, now: Duration) -> bool {
        let current = self.declarations.position;
        generation_of(position) == generation_of(current)
            || now >= self.schedule.declarations_settled_at
    }
}

/// Maps the seed of a process to a fraction from 0 to 1.
fn seed_fraction(seed: u64) -> f64 {
    seed as f64 / u64::MAX as f64
}

/// Returns the revision of the manifest that a record publishes.
fn published_revision(body: &Body) -> Option<u64> {
    match body {
        Body::Publish {
            document: Document::Manifest(manifest),
            ..
        } => Some(manifest.revision),
        _ => None,
    }
}
