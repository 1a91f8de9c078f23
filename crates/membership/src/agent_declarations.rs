//! Publication of the declarations of operators to the log.

use std::collections::BTreeSet;
use std::time::Duration;

use cluster::Body;
use cluster::Document;
use ids::ZoneId;

use crate::Action;
use crate::Agent;
use crate::OperatorDeclarations;
use crate::times::DECLARATION_TURN_DELAY;
use crate::times::FIRST_MANIFEST_DELAY;

impl Agent {
    /// Records the current declarations of operators.
    pub(crate) fn set_declarations(&mut self, now: Duration, declarations: OperatorDeclarations) {
        if self.declarations != declarations {
            self.declarations = declarations;
            self.schedule.last_new_declaration = now;
        }
    }

    /// Publishes the declarations of operators to the log. Processes take turns, and only the first record takes effect.
    pub(crate) fn publish_declarations(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_pending = |body: &Body| matches!(body, Body::Publish { .. } | Body::Zone { .. });
        if !self.log.is_healthy(now)
            || self.appends.any(is_pending)
            || now < self.publication_time()
        {
            return;
        }
        if let Some(body) = self.next_publication().or_else(|| self.next_zone()) {
            self.appends.append(now, body, actions);
        }
    }

    fn publication_time(&self) -> Duration {
        let fleet = self.log.fleet();
        let members = fleet.members();
        let position = members.keys().position(|vm| *vm == self.cfg.vm);
        let revision = self
            .declarations
            .manifest
            .as_ref()
            .map_or(0, |manifest| manifest.revision);
        let first_turn = usize::try_from(revision).unwrap_or_default() % members.len().max(1);
        let position = position.unwrap_or(members.len());
        let turn = (position + first_turn) % members.len().max(1);
        let first_at = match fleet.revision() {
            0 => self.schedule.last_new_declaration.max(FIRST_MANIFEST_DELAY),
            _ => self.schedule.last_new_declaration,
        };
        first_at + DECLARATION_TURN_DELAY * u32::try_from(turn).unwrap_or(u32::MAX)
    }

    fn next_publication(&self) -> Option<Body> {
        let manifest = self.declarations.manifest.as_ref()?;
        let fleet = self.log.fleet();
        (manifest.revision > fleet.revision()).then(|| Body::Publish {
            base: fleet.plans_version(),
            document: Document::Manifest(manifest.clone()),
        })
    }

    fn next_zone(&self) -> Option<Body> {
        self.declarations.manifest.as_ref()?;
        let fleet = self.log.fleet();
        let out: BTreeSet<&ZoneId> = fleet.zones_out().collect();
        let declared: BTreeSet<&ZoneId> = self.declarations.zones_out.iter().collect();
        let mut differing = declared.symmetric_difference(&out);
        let zone =
            differing.find(|zone| fleet.zone_position(zone) <= self.declarations.position)?;
        Some(Body::Zone {
            base: fleet.zone_version(zone),
            out: declared.contains(*zone),
            position: self.declarations.position,
            zone: (*zone).clone(),
        })
    }
}
