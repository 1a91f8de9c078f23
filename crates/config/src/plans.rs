//! Document that declares services and plans.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ids::ServiceId;
use serde::Deserialize;
use serde::Serialize;

use crate::DocumentError;
use crate::HostRoute;
use crate::HostRouteMatch;
use crate::Plan;
use crate::Service;
use crate::check::check_name;
use crate::parse::parse;
use crate::route::check_upload;

/// Every plan and every service that a plan can grant.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plans {
    /// Routes by host; the one with the longest matching prefix applies. If any are declared, requests are routed by
    /// host alone.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub hosts: BTreeMap<String, Vec<HostRoute>>,
    /// Plans by name.
    #[serde(deserialize_with = "crate::unique::map")]
    pub plans: BTreeMap<String, Plan>,
    /// Services by name.
    #[serde(deserialize_with = "crate::unique::map")]
    pub services: BTreeMap<ServiceId, Service>,
    /// Path prefixes by host of routes that are declared but could not be read. Their requests are refused as not run.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub unreadable_routes: BTreeMap<String, BTreeSet<String>>,
}

impl Plans {
    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// Returns the first problem found, with its path and remedy.
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        let plans: Self = parse(text)?;
        plans.check()?;
        Ok(plans)
    }

    /// Checks the document.
    ///
    /// # Errors
    ///
    /// Returns the first problem found, with its path and remedy.
    pub fn check(&self) -> Result<(), DocumentError> {
        for (name, service) in &self.services {
            let path = format!("services.{name}");
            check_name(&path, name)?;
            service.check(&path)?;
            if service.routes.is_empty() && !self.routes_by_host() {
                return Err(DocumentError::value(
                    format!("{path}.routes"),
                    "the list is empty",
                    "declare at least one route",
                ));
            }
        }
        self.check_hosts()?;
        for (name, plan) in &self.plans {
            let path = format!("plans.{name}");
            check_name(&path, name)?;
            plan.check(&path, &self.services)?;
        }
        Ok(())
    }

    /// Reports whether requests are routed by host.
    pub fn routes_by_host(&self) -> bool {
        !self.hosts.is_empty() || !self.unreadable_routes.is_empty()
    }

    /// Returns the route of a host with the longest prefix of `path`.
    pub fn host_route(&self, host: &str, path: &str) -> HostRouteMatch<'_> {
        let routes = self.hosts.get(host).into_iter().flatten();
        let routes = routes.filter(|route| path.starts_with(&route.prefix));
        let route = routes.max_by_key(|route| route.prefix.len());
        let unreadable = self.unreadable_routes.get(host).into_iter().flatten();
        let unreadable = unreadable.filter(|prefix| path.starts_with(prefix.as_str()));
        match (route, unreadable.map(String::len).max()) {
            (Some(route), None) => HostRouteMatch::Found(route),
            (Some(route), Some(length)) if route.prefix.len() > length => {
                HostRouteMatch::Found(route)
            }
            (_, Some(_)) => HostRouteMatch::Unreadable,
            (None, None) => HostRouteMatch::Absent,
        }
    }

    fn check_hosts(&self) -> Result<(), DocumentError> {
        for (host, routes) in &self.hosts {
            for (index, route) in routes.iter().enumerate() {
                self.check_host_route(&format!("hosts.{host}[{index}]"), route)?;
            }
        }
        Ok(())
    }

    fn check_host_route(&self, path: &str, route: &HostRoute) -> Result<(), DocumentError> {
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(DocumentError::value(
                format!("{path}.prefix"),
                format!("{:?} does not begin and end with `/`", route.prefix),
                "begin and end it with `/`",
            ));
        }
        if route.timeout_ms == 0 || route.attempts == 0 {
            return Err(DocumentError::value(
                path,
                "the timeout or the number of attempts is 0",
                "choose at least 1",
            ));
        }
        check_upload(&format!("{path}.upload"), route.upload, route.idempotent)?;
        let total: u64 = route
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        if total == 0 {
            return Err(DocumentError::value(
                format!("{path}.targets"),
                "no target has a weight",
                "give at least one target a weight above 0",
            ));
        }
        let mut targets = route.targets.iter();
        match targets.find(|target| !self.services.contains_key(&target.service)) {
            None => Ok(()),
            Some(unknown) => Err(DocumentError::value(
                format!("{path}.targets"),
                format!("service `{}` is not declared", unknown.service),
                "declare it under `services` or correct its name",
            )),
        }
    }
}
