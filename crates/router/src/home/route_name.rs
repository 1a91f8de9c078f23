//! Names of the routes of requests at the home.

use config::HostRoute;
use config::HostRouteMatch;
use config::Plans;
use http::header::HOST;
use wire::Dispatch;

use crate::host_name::host_name;

/// Returns the name of the route that a request matches, as its entry names it, or `None` if no route matches.
pub(crate) fn route_name(dispatch: &Dispatch, plans: &Plans) -> Option<String> {
    if !plans.routes_by_host() {
        return Some(dispatch.service.clone());
    }
    host_route(dispatch, plans).map(|route| route.name.clone())
}

/// Returns the route that a request matches by its host and path, or `None` if no readable route matches.
pub(crate) fn host_route<'a>(dispatch: &Dispatch, plans: &'a Plans) -> Option<&'a HostRoute> {
    let mut headers = dispatch.headers.iter();
    let header = headers.find(|header| header.name == HOST.as_str())?;
    let host = host_name(std::str::from_utf8(&header.value).ok()?);
    let path = dispatch.path_and_query.split('?').next()?;
    match plans.host_route(&host, path) {
        HostRouteMatch::Found(route) => Some(route),
        HostRouteMatch::Absent | HostRouteMatch::Unreadable => None,
    }
}
