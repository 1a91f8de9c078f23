//! What operators declare outside the log.

use std::collections::BTreeSet;
use std::time::Duration;

use cluster::Body;
use cluster::Document;
use ids::ZoneId;

use crate::Action;
use crate::Agent;
use crate::Declared;
use crate::times::DECLARATION_TURN_DELAY;
use crate::times::FIRST_MANIFEST_DELAY;

impl Agent {
    /// Takes what operators declare.
    pub(crate) fn declare(&mut self, now: Duration, declared: Declared) {
        if self.declared != declared {
            self.declared = declared;
            self.schedule.last_new_declaration = now;
        }
    }

    /// Brings what operators declare into the log. Members step in one after another, and the first record counts.
    pub(crate) fn publish(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_pending = |body: &Body| matches!(body, Body::Publish { .. } | Body::Zone { .. });
        if !self.log.is_healthy(now) || self.appends.any(is_pending) || now < self.turn() {
            return;
        }
        if let Some(body) = self.next_publication().or_else(|| self.next_zone()) {
            self.appends.append(now, body, actions);
        }
    }

    fn turn(&self) -> Duration {
        let fleet = self.log.fleet();
        let members = fleet.members();
        let position = members.keys().position(|vm| *vm == self.cfg.vm);
        let revision = self
            .declared
            .manifest
            .as_ref()
            .map_or(0, |one| one.revision);
        let first = usize::try_from(revision).unwrap_or_default() % members.len().max(1);
        let position = position.unwrap_or(members.len());
        let turn = (position + first) % members.len().max(1);
        let first = match fleet.revision() {
            0 => self.schedule.last_new_declaration.max(FIRST_MANIFEST_DELAY),
            _ => self.schedule.last_new_declaration,
        };
        first + DECLARATION_TURN_DELAY * u32::try_from(turn).unwrap_or(u32::MAX)
    }

    fn next_publication(&self) -> Option<Body> {
        let manifest = self.declared.manifest.as_ref()?;
        let fleet = self.log.fleet();
        (manifest.revision > fleet.revision()).then(|| Body::Publish {
            base: fleet.plans_version(),
            document: Document::Manifest(manifest.clone()),
        })
    }

    fn next_zone(&self) -> Option<Body> {
        self.declared.manifest.as_ref()?;
        let fleet = self.log.fleet();
        let out: BTreeSet<&ZoneId> = fleet.zones_out().collect();
        let declared: BTreeSet<&ZoneId> = self.declared.zones_out.iter().collect();
        let mut differing = declared.symmetric_difference(&out);
        let zone = differing.find(|zone| fleet.zone_position(zone) <= self.declared.position)?;
        Some(Body::Zone {
            base: fleet.zone_version(zone),
            out: declared.contains(*zone),
            position: self.declared.position,
            zone: (*zone).clone(),
        })
    }
}
