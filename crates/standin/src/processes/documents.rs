//! The documents that a fleet starts with.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use config::Plan;
use config::Plans;
use config::Route;
use config::Service;
use config::Workspace;
use config::Workspaces;
use ids::ServiceId;

use crate::RateLimit;
use crate::ServiceKind;
use crate::TraceFacts;
use crate::WorkspacePlan;

/// Returns services, and a plan with the name of each workspace that grants all of them.
pub(crate) fn plans(
    services: &BTreeMap<ServiceId, ServiceKind>,
    workspaces: &[WorkspacePlan],
) -> Plans {
    let plan = |workspace: &WorkspacePlan| Plan {
        burst_requests: workspace.burst,
        rate_requests_per_second: workspace.rate,
        services: services.keys().cloned().collect(),
        weight: workspace.weight,
        ..Plan::default()
    };
    Plans {
        plans: workspaces
            .iter()
            .map(|workspace| (workspace.name.clone(), plan(workspace)))
            .collect(),
        services: services
            .iter()
            .map(|(name, kind)| (name.clone(), service(*kind)))
            .collect(),
        ..Plans::default()
    }
}

/// Returns each workspace on the plan with its name.
pub(crate) fn workspaces(workspaces: &[WorkspacePlan]) -> Workspaces {
    let document = |workspace: &WorkspacePlan| Workspace {
        plan: workspace.name.clone(),
        ..Workspace::default()
    };
    Workspaces {
        workspaces: workspaces
            .iter()
            .map(|workspace| (workspace.name.clone(), document(workspace)))
            .collect(),
    }
}

/// Returns the limits of all workspaces, for the checker.
pub(crate) fn facts(workspaces: &[WorkspacePlan]) -> TraceFacts {
    let limit = |workspace: &WorkspacePlan| RateLimit {
        burst: workspace.burst.into(),
        rate: workspace.rate.into(),
    };
    TraceFacts {
        limits: workspaces
            .iter()
            .map(|workspace| (workspace.name.clone(), limit(workspace)))
            .collect(),
        ..TraceFacts::default()
    }
}

fn service(kind: ServiceKind) -> Service {
    let route = |method: &str, prefix: &str, idempotent, open| Route {
        idempotent,
        methods: BTreeSet::from([method.to_owned()]),
        open,
        prefix: prefix.to_owned(),
    };
    Service {
        routes: vec![
            route("GET", "/", true, false),
            route("POST", "/", false, false),
            route("GET", "/open", true, true),
        ],
        shards: kind.shards(),
        ..Service::default()
    }
}
