//! The targets to which this router is home or standby.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::health::GroupCheck;
use jujuberoad::health::MemberReport;
use jujuberoad::health::ReportTable;
use jujuberoad::health::TargetHealth;
use jujuberoad::health::endpoint_health;
use jujuberoad::ids::RouterId;
use jujuberoad::ids::TargetId;
use jujuberoad::routing::RouteTarget;
use jujuberoad::slots::SlotGrant;
use jujuberoad::slots::SlotHome;
use jujuberoad::slots::SlotRefusal;
use jujuberoad::slots::SlotRequest;
use spdlog::info;

use crate::router_view::RouterView;

/// Time without a slot request after which a standby drops a target.
const STANDBY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// A standby grants at most the target's warm slots divided by this number.
const STANDBY_SLOT_DIVISOR: u32 = 2;

/// Tracks the health of the targets to which this router is home or standby, and
/// grants their slots.
#[derive(Default)]
pub(crate) struct HomeRegistry {
    state: Mutex<RegistryState>,
}

#[derive(Default)]
struct RegistryState {
    entries: HashMap<TargetId, HomeEntry>,
    reports: ReportTable,
}

struct HomeEntry {
    home: SlotHome,
    /// When a standby may drop the target; `None` on the home.
    standby_until: Option<Instant>,
}

impl HomeRegistry {
    /// Adds the targets to which `own_id` has become home, and drops the targets
    /// of which it is neither home nor active standby.
    pub(crate) fn sync(&self, view: &RouterView, own_id: &RouterId, now: Instant) {
        let mut state = self.state.lock().expect("home lock");
        state.entries.retain(|name, entry| {
            let is_home = view.home(name).is_some_and(|home| home.router == *own_id);
            let is_known = view.table.get(name).is_some();
            let is_standby = entry.standby_until.is_some_and(|until| now < until);
            is_known && ((is_home && entry.standby_until.is_none()) || (!is_home && is_standby))
        });
        for target in view.table.iter() {
            let name = &target.target;
            if view.home(name).is_some_and(|home| home.router == *own_id) {
                state.entries.entry(name.clone()).or_insert_with(|| {
                    info!("home: target={name} epoch={}", view.list.epoch);
                    let home = SlotHome::new(name.clone(), view.list.epoch, true, now);
                    HomeEntry {
                        home,
                        standby_until: None,
                    }
                });
            }
            let Some(entry) = state.entries.get_mut(name) else {
                continue;
            };
            entry.set_limits(target);
            entry.home.set_epoch(view.list.epoch);
        }
        let RegistryState { entries, reports } = &mut *state;
        reports.retain(|vm| {
            entries.keys().any(|name| {
                let target = view.table.get(name);
                target.is_some_and(|target| polled_names(target).any(|polled| polled == vm))
            })
        });
    }

    /// Returns the targets whose engines must be polled.
    pub(crate) fn targets(&self) -> Vec<TargetId> {
        self.state
            .lock()
            .expect("home lock")
            .entries
            .keys()
            .cloned()
            .collect()
    }

    /// Records a report requested at `polled_at` and updates the health of `target`.
    pub(crate) fn record(
        &self,
        report: MemberReport,
        target: &RouteTarget,
        polled_at: Instant,
        now: Instant,
    ) {
        let mut state = self.state.lock().expect("home lock");
        let leader = polled_names(target).next().cloned();
        let in_flight = (leader.as_ref() == Some(&report.vm)).then_some(report.in_flight);
        let sampled_at = polled_at.checked_sub(Duration::from_millis(report.age_ms));
        state.reports.record(report, polled_at);
        let entry = state.entries.get_mut(&target.target);
        if let (Some(entry), Some(in_flight), Some(sampled_at)) = (entry, in_flight, sampled_at) {
            entry.home.observe_load(in_flight, sampled_at, now);
        }
        state.update_health(target, now);
    }

    /// Updates the health of a target, which changes when its reports expire.
    pub(crate) fn update_health(&self, target: &RouteTarget, now: Instant) {
        self.state
            .lock()
            .expect("home lock")
            .update_health(target, now);
    }

    /// Processes a slot request; returns `None` for one that arrives out of order.
    ///
    /// A standby refuses slot requests for a target in cold start.
    pub(crate) fn request(
        &self,
        request: &SlotRequest,
        view: &RouterView,
        own_id: &RouterId,
        now: Instant,
    ) -> Option<SlotGrant> {
        let mut state = self.state.lock().expect("home lock");
        if request.is_to_standby {
            state.add_standby(request, view, own_id, now);
        }
        let Some(entry) = state.entries.get_mut(&request.target) else {
            return Some(refusal(request, view, SlotRefusal::NotHome));
        };
        if entry.standby_until.is_some() != request.is_to_standby {
            return Some(refusal(request, view, SlotRefusal::NotHome));
        }
        if let (Some(until), TargetHealth::Cold { .. }) =
            (&mut entry.standby_until, entry.home.health())
        {
            *until = now + STANDBY_IDLE_TIMEOUT;
            return Some(refusal(request, view, SlotRefusal::NotHome));
        }
        if let Some(until) = &mut entry.standby_until {
            *until = now + STANDBY_IDLE_TIMEOUT;
        }
        entry.home.handle_request(request, now)
    }

    /// Returns the health of each target.
    pub(crate) fn target_healths(&self) -> Vec<(TargetId, TargetHealth)> {
        let state = self.state.lock().expect("home lock");
        let entries = state.entries.values();
        entries
            .map(|entry| (entry.home.target().clone(), entry.home.health().clone()))
            .collect()
    }
}

impl RegistryState {
    fn update_health(&mut self, target: &RouteTarget, now: Instant) {
        let health = match (&target.group, &target.closed) {
            (_, Some(closed)) => TargetHealth::Closed {
                reason: closed.to_string(),
            },
            (Some(group), None) => GroupCheck::new(group, &self.reports).check(now),
            (None, None) => endpoint_health(&target.target, &self.reports, now),
        };
        let Some(entry) = self.entries.get_mut(&target.target) else {
            return;
        };
        if std::mem::discriminant(entry.home.health()) != std::mem::discriminant(&health) {
            info!(
                "gate: target={} state={health} {}",
                target.target,
                closed_reason(&health)
            );
        }
        entry.home.set_health(health);
    }

    /// Adds the target of `request` if this router is its standby.
    fn add_standby(
        &mut self,
        request: &SlotRequest,
        view: &RouterView,
        own_id: &RouterId,
        now: Instant,
    ) {
        let is_standby = view
            .standby(&request.target)
            .is_some_and(|entry| entry.router == *own_id);
        let Some(target) = view.table.get(&request.target).filter(|_| is_standby) else {
            return;
        };
        self.entries
            .entry(request.target.clone())
            .or_insert_with(|| {
                info!(
                    "home: standby for target={} epoch={}",
                    request.target, view.list.epoch
                );
                let home = SlotHome::new(request.target.clone(), view.list.epoch, true, now);
                let mut entry = HomeEntry {
                    home,
                    standby_until: Some(now + STANDBY_IDLE_TIMEOUT),
                };
                entry.set_limits(target);
                entry
            });
    }
}

impl HomeEntry {
    fn set_limits(&mut self, target: &RouteTarget) {
        let divisor = if self.standby_until.is_some() {
            STANDBY_SLOT_DIVISOR
        } else {
            1
        };
        self.home
            .set_limits(target.slots / divisor, target.cold_slots, target.generation);
    }
}

/// Returns the VMs, or the endpoint, whose reports determine the health of a target.
fn polled_names(target: &RouteTarget) -> impl Iterator<Item = &TargetId> {
    let members = target.group.iter().flat_map(|group| &group.members);
    let endpoint = target.group.is_none().then_some(&target.target);
    members.map(|member| &member.vm).chain(endpoint)
}

fn closed_reason(health: &TargetHealth) -> String {
    match health {
        TargetHealth::Closed { reason } => format!("reason={reason:?}"),
        _ => String::new(),
    }
}

fn refusal(request: &SlotRequest, view: &RouterView, refusal: SlotRefusal) -> SlotGrant {
    SlotGrant {
        target: request.target.clone(),
        epoch: view.list.epoch,
        number: request.number,
        slots: 0,
        valid_ms: 0,
        generation: 0,
        is_cold: false,
        free: 0,
        refusal: Some(refusal),
    }
}

/// Returns the refusal that a home sends while its own view is stale.
pub(crate) fn stale_refusal(request: &SlotRequest, view: &RouterView) -> SlotGrant {
    refusal(request, view, SlotRefusal::StaleView)
}
