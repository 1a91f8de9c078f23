//! Handling of records that the log will never accept.

use std::time::Duration;

use cluster::Body;
use cluster::Document;
use cluster::Record;
use cluster::RolloutRecord;
use cluster::RolloutStep;

use crate::Action;
use crate::Agent;
use crate::Decision;

impl Agent {
    /// Records that the log will never accept a record of this process.
    pub(crate) fn handle_rejection(&mut self, id: &str, reason: String, actions: &mut Vec<Action>) {
        let Some(record) = self.appends.reject(id) else {
            return;
        };
        let what = describe(&record.body);
        let decision = Decision::AppendGivenUp { reason, what };
        actions.push(Action::LogDecision(decision));
    }

    /// Continues without a record that the log will never accept.
    pub(crate) fn give_up(&mut self, now: Duration, record: &Record, actions: &mut Vec<Action>) {
        match &record.body {
            Body::Publish {
                document: Document::Manifest(manifest),
                ..
            } => self.rejected_declarations.revision = manifest.revision,
            Body::Rollout(RolloutRecord {
                service,
                position,
                step: RolloutStep::Ordered { .. },
            }) => {
                let rollouts = &mut self.rejected_declarations.rollouts;
                rollouts.insert(service.clone(), *position);
            }
            Body::Zone { zone, out, .. } => {
                let zones = &mut self.rejected_declarations.zones;
                zones.insert(zone.clone(), *out);
            }
            _ => self.continue_without(now, record, actions),
        }
    }
}

/// Returns what a record was to change, for operators.
fn describe(body: &Body) -> String {
    match body {
        Body::Publish {
            document: Document::Manifest(manifest),
            ..
        } => format!("manifest {}", manifest.revision),
        Body::Rollout(RolloutRecord { service, .. }) => format!("roll-out of {service}"),
        Body::Zone { zone, .. } => format!("zone {zone}"),
        _ => {
            let value = serde_json::to_value(body).unwrap_or_default();
            value["type"].as_str().unwrap_or_default().to_owned()
        }
    }
}
