//! Reports of what has changed in the state of an agent.

use std::collections::BTreeSet;
use std::time::Duration;

use ids::ZoneId;

use crate::Action;
use crate::Agent;
use crate::Decision;
use crate::MemberState;

impl Agent {
    /// Reports the decisions that have changed since the last report.
    pub(crate) fn report_changes(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let holds = self.lease.holds(now);
        if let Some(incarnation) = self.state.incarnation()
            && holds != self.last_report.lease_held
        {
            actions.push(Action::LogDecision(Decision::lease_changed(
                holds,
                incarnation,
            )));
        }
        self.last_report.lease_held = holds;
        let informed = self.is_informed(now);
        if informed != self.last_report.is_informed {
            self.last_report.is_informed = informed;
            actions.push(Action::LogDecision(Decision::informed_changed(informed)));
        }
        let revision = self.declared_revision();
        if revision != self.last_report.declared_revision {
            self.last_report.declared_revision = revision;
            let declared = Decision::ManifestDeclared { revision };
            actions.push(Action::LogDecision(declared));
        }
        let fleet = self.log.fleet();
        let versions = (fleet.plans_version(), fleet.workspaces_version());
        if versions != self.last_report.versions {
            self.last_report.versions = versions;
            actions.push(Action::LogDecision(Decision::ConfigurationInForce {
                plans: versions.0,
                workspaces: versions.1,
            }));
        }
        let accepted = self.upstream.accepted();
        let instance = accepted.map(|accepted| accepted.instance.clone());
        if instance != self.last_report.instance {
            self.last_report.instance.clone_from(&instance);
            let accepted = instance.map(|instance| Decision::UpstreamAccepted { instance });
            actions.extend(accepted.map(Action::LogDecision));
        }
        self.report_zones(actions);
        self.report_evacuation(now, actions);
    }

    /// Reports zones that were taken out of service or returned, each once by the declaration and once by the log.
    fn report_zones(&mut self, actions: &mut Vec<Action>) {
        let declared = &self.declarations.zones_out;
        for (zone, out) in changed_zones(&self.last_report.declared_zones, declared) {
            actions.push(Action::LogDecision(Decision::ZoneDeclared { out, zone }));
        }
        self.last_report.declared_zones.clone_from(declared);
        let recorded: BTreeSet<ZoneId> = self.log.fleet().zones_out().cloned().collect();
        for (zone, out) in changed_zones(&self.last_report.recorded_zones, &recorded) {
            actions.push(Action::LogDecision(Decision::ZoneRecorded { out, zone }));
        }
        self.last_report.recorded_zones = recorded;
    }

    /// Reports when a member that is out of service owns no units any more.
    fn report_evacuation(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_member = matches!(self.state, MemberState::Active(_));
        if !is_member || !self.is_evacuating(now) {
            self.last_report.evacuating_since = None;
        } else if self.owned_units.len() > 0 {
            self.last_report.evacuating_since.get_or_insert(now);
        } else if let Some(since) = self.last_report.evacuating_since.take() {
            let elapsed = now.saturating_sub(since).as_millis();
            let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
            actions.push(Action::LogDecision(Decision::Evacuated { elapsed_ms }));
        }
    }
}

/// Returns the zones that are in one of two sets of zones that are out of service, and whether they are in the later one.
fn changed_zones<'a>(
    earlier: &'a BTreeSet<ZoneId>,
    later: &'a BTreeSet<ZoneId>,
) -> impl Iterator<Item = (ZoneId, bool)> + 'a {
    let changed = earlier.symmetric_difference(later);
    changed.map(|zone| (zone.clone(), later.contains(zone)))
}
