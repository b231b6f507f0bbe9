//! A version of the routes, services, teams and limits.

use std::collections::BTreeMap;
use std::collections::HashMap;

use smol_str::SmolStr;

use super::RouteSpec;
use super::ServiceProfile;
use super::TeamAccess;
use super::TrafficLimits;
use crate::ids::Revision;
use crate::ids::ServiceId;

/// A complete configuration, indexed for request lookup.
#[derive(Clone, Debug, Default)]
pub struct ServingConfig {
    /// Version set by the operator; increases, possibly with gaps.
    pub version: Revision,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceProfile>,
    /// Limits on callers' requests and connections.
    pub limits: TrafficLimits,
    /// Whether teams are configured, so that callers need API keys.
    pub has_teams: bool,
    routes: HashMap<SmolStr, Vec<RouteSpec>>,
    teams: Vec<TeamAccess>,
    team_by_key: HashMap<SmolStr, usize>,
}

impl ServingConfig {
    /// Creates a configuration and its indexes.
    pub fn new(
        version: Revision,
        routes: Vec<RouteSpec>,
        services: Vec<ServiceProfile>,
        teams: Option<Vec<TeamAccess>>,
        limits: TrafficLimits,
    ) -> Self {
        let mut config = Self {
            version,
            limits,
            has_teams: teams.is_some(),
            teams: teams.unwrap_or_default(),
            ..Self::default()
        };
        for service in services {
            config.services.insert(service.name.clone(), service);
        }
        for route in routes {
            let host = config.routes.entry(route.host.clone()).or_default();
            host.push(route);
        }
        for routes in config.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        for (index, team) in config.teams.iter().enumerate() {
            for key in &team.keys {
                config.team_by_key.insert(key.clone(), index);
            }
        }
        config
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host = host.to_ascii_lowercase();
        let routes = self.routes.get(host.as_str())?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the team that the API key `key` belongs to.
    pub fn team_of(&self, key: &str) -> Option<&TeamAccess> {
        let index = self.team_by_key.get(key)?;
        self.teams.get(*index)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
