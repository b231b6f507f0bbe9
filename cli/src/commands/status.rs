//! `jujube status`: the revision in force and the state of all routers and groups.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use jujuberoad::config::FleetConfig;
use jujuberoad::ids::Revision;
use serde::Deserialize;
use serde::Serialize;

use super::GroupStatus;
use super::RouterStatus;
use crate::CommandError;
use crate::ConfigStore;

/// Time within which a router must answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// State of the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StatusReport {
    /// Revision in force.
    pub revision: Revision,
    /// Routers on the list.
    pub routers: Vec<RouterStatus>,
    /// Groups of all availability zones.
    pub groups: Vec<GroupStatus>,
}

#[derive(Deserialize)]
struct StatusPage {
    revision: Revision,
    view_is_fresh: bool,
    homes: Vec<HomeState>,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(super) struct HomeState {
    target: String,
    state: String,
}

/// Reads the state of the fleet.
pub async fn status(store: &ConfigStore) -> Result<StatusReport, CommandError> {
    let (record, _) = store.read().await?;
    let config = FleetConfig::parse(&record.files).map_err(CommandError::Invalid)?;
    let routers = router_statuses(store).await?;
    let mut states = BTreeMap::new();
    for home in routers.iter().flat_map(|router| &router.homes) {
        states.insert(home.target.clone(), home.state.clone());
    }
    let mut groups = Vec::new();
    for zone in config.zones.keys() {
        let Some(placement) = store.placement(zone).await? else {
            continue;
        };
        for group in placement.groups.values() {
            groups.push(GroupStatus {
                group: group.group.to_string(),
                zone: zone.to_string(),
                model: group.model.to_string(),
                generation: group.generation,
                intent: group.state.to_string(),
                state: states.get(group.group.as_str()).cloned(),
                members: group
                    .members
                    .iter()
                    .map(|member| member.vm.to_string())
                    .collect(),
            });
        }
    }
    Ok(StatusReport {
        revision: record.revision,
        routers,
        groups,
    })
}

/// Requests the status of every router on the list.
pub(crate) async fn router_statuses(
    store: &ConfigStore,
) -> Result<Vec<RouterStatus>, CommandError> {
    let list = store.routers().await?;
    let mut statuses = Vec::new();
    for entry in list.routers.values() {
        let page = status_page(store, entry.http).await;
        statuses.push(RouterStatus {
            router: entry.router.to_string(),
            zone: entry.zone.to_string(),
            revision: page.as_ref().map(|page| page.revision),
            is_fresh: page.as_ref().is_some_and(|page| page.view_is_fresh),
            homes: page.map(|page| page.homes).unwrap_or_default(),
        });
    }
    Ok(statuses)
}

async fn status_page(store: &ConfigStore, router: SocketAddr) -> Option<StatusPage> {
    let deadline = Instant::now() + STATUS_TIMEOUT;
    let response = store
        .pool()
        .exchange(router, Method::GET, "/status", Bytes::new(), deadline)
        .await;
    response.ok()?.decode_json().ok()
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let up_to_date = |router: &&RouterStatus| router.revision == Some(self.revision);
        let in_force = self.routers.iter().filter(up_to_date).count();
        let routers = self.routers.len();
        writeln!(
            f,
            "revision {} in force at {in_force} of {routers} routers",
            self.revision
        )?;
        for router in &self.routers {
            let revision = router
                .revision
                .map_or("no answer".to_owned(), |rev| rev.to_string());
            let view = if router.is_fresh { "fresh" } else { "stale" };
            writeln!(
                f,
                "router {} {} revision {revision} view {view}",
                router.router, router.zone
            )?;
        }
        for group in &self.groups {
            let state = group.state.as_deref().unwrap_or("unknown");
            writeln!(
                f,
                "group {} {} {} generation {} {} {state} [{}]",
                group.group,
                group.zone,
                group.model,
                group.generation,
                group.intent,
                group.members.join(" ")
            )?;
        }
        Ok(())
    }
}
