//! Configuration documents of a fleet, and the limits that the checker verifies.

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

/// Returns all services, and for each workspace a plan of the same name that includes every service.
pub(crate) fn build_plans(
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
            .map(|(name, kind)| (name.clone(), build_service(*kind)))
            .collect(),
        ..Plans::default()
    }
}

/// Returns all workspaces, each with the plan of the same name.
pub(crate) fn build_workspaces(workspaces: &[WorkspacePlan]) -> Workspaces {
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

/// Returns the rate limits of all workspaces for the checker.
pub(crate) fn build_trace_facts(workspaces: &[WorkspacePlan]) -> TraceFacts {
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

fn build_service(kind: ServiceKind) -> Service {
    let route = |method: &str, prefix: &str, idempotent, open| Route {
        idempotent,
        methods: BTreeSet::from([method.to_owned()]),
        open,
        prefix: prefix.to_owned(),
        upload: false,
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
