//! What entries and homes derive from a request for placement by cost.

use std::time::Duration;

use cluster::Fleet;
use policy::CostKey;
use policy::HomeWork;
use wire::Dispatch;
use wire::HomeLoad;

use crate::home::grant_of;
use crate::home::host_route;

/// Unit of the cost in [`HomeLoad`].
const COST_UNIT: Duration = Duration::from_micros(100);

/// Returns the kind of a request by which its cost is learned.
pub(crate) fn cost_key(fleet: &Fleet, dispatch: &Dispatch) -> CostKey {
    let unit = grant_of(dispatch).map(|(unit, _)| unit);
    CostKey::new(&route_name(fleet, dispatch), dispatch.body.len(), unit)
}

/// Returns the name of the route of a request, or its prefix if it has no name.
fn route_name(fleet: &Fleet, dispatch: &Dispatch) -> String {
    let plans = fleet.plans();
    if plans.routes_by_host() {
        return match host_route(dispatch, plans) {
            Some(route) if route.name.is_empty() => route.prefix.clone(),
            Some(route) => route.name.clone(),
            None => String::new(),
        };
    }
    let path = dispatch.path_and_query.split('?').next();
    let service = plans.services.get(&dispatch.service);
    let route = service.and_then(|service| service.route(&dispatch.method, path?));
    route.map(|route| route.prefix.clone()).unwrap_or_default()
}

/// Returns what a home states of its work as a peer message.
pub(crate) fn encode_work(work: &HomeWork) -> HomeLoad {
    let units = |time: Duration, unit: Duration| {
        u32::try_from(time.as_nanos() / unit.as_nanos()).unwrap_or(u32::MAX)
    };
    HomeLoad {
        remaining_ms: units(work.remaining, Duration::from_millis(1)),
        // The cast saturates.
        speed_percent: (work.speed * 100.0).round() as u32,
        cost_tenths_ms: work.cost.map_or(0, |cost| units(cost, COST_UNIT)),
    }
}

/// Returns what a peer message states of the work of a home.
pub(crate) fn decode_work(load: &HomeLoad) -> HomeWork {
    let cost = COST_UNIT.saturating_mul(load.cost_tenths_ms);
    HomeWork {
        cost: Some(cost).filter(|cost| !cost.is_zero()),
        remaining: Duration::from_millis(load.remaining_ms.into()),
        speed: f64::from(load.speed_percent) / 100.0,
    }
}
