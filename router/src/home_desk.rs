//! The targets to which this router is home.

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

/// Time without a request after which a standby stops polling a target.
const STANDBY_IDLE: Duration = Duration::from_secs(10);
/// Part of a warm target's slots that its standby grants.
const STANDBY_DIVISOR: u32 = 2;

/// Grants slots of the targets to which this router is home or standby.
#[derive(Default)]
pub(crate) struct HomeDesk {
    state: Mutex<HomeState>,
}

#[derive(Default)]
struct HomeState {
    seats: HashMap<TargetId, HomeSeat>,
    reports: ReportTable,
}

struct HomeSeat {
    home: SlotHome,
    /// When a standby may forget the target; nothing for a home.
    standby_until: Option<Instant>,
}

impl HomeDesk {
    /// Takes up the targets to which `own` has become home and drops the others.
    pub(crate) fn sync(&self, view: &RouterView, own: &RouterId, now: Instant) {
        let mut state = self.state.lock().expect("home lock");
        state.seats.retain(|name, seat| {
            let is_home = view.home(name).is_some_and(|home| home.router == *own);
            let is_known = view.table.get(name).is_some();
            let is_standby = seat.standby_until.is_some_and(|until| now < until);
            is_known && ((is_home && seat.standby_until.is_none()) || (!is_home && is_standby))
        });
        for target in view.table.iter() {
            let name = &target.target;
            if view.home(name).is_some_and(|home| home.router == *own) {
                state.seats.entry(name.clone()).or_insert_with(|| {
                    info!("home: target={name} epoch={}", view.list.epoch);
                    let home = SlotHome::new(name.clone(), view.list.epoch, true, now);
                    HomeSeat {
                        home,
                        standby_until: None,
                    }
                });
            }
            let Some(seat) = state.seats.get_mut(name) else {
                continue;
            };
            seat.set_limits(target);
            seat.home.set_epoch(view.list.epoch);
        }
        let HomeState { seats, reports } = &mut *state;
        reports.retain(|vm| {
            seats.keys().any(|name| {
                let target = view.table.get(name);
                target.is_some_and(|target| polled_names(target).any(|polled| polled == vm))
            })
        });
    }

    /// Returns the targets that are to be polled.
    pub(crate) fn targets(&self) -> Vec<TargetId> {
        self.state
            .lock()
            .expect("home lock")
            .seats
            .keys()
            .cloned()
            .collect()
    }

    /// Takes a report that was asked for at `polled_at`.
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
        let seat = state.seats.get_mut(&target.target);
        if let (Some(seat), Some(in_flight), Some(sampled_at)) = (seat, in_flight, sampled_at) {
            seat.home.observe_load(in_flight, sampled_at, now);
        }
        state.judge(target, now);
    }

    /// Judges a target anew, as its reports grow old.
    pub(crate) fn judge(&self, target: &RouteTarget, now: Instant) {
        self.state.lock().expect("home lock").judge(target, now);
    }

    /// Answers a request for slots; nothing when it has been overtaken.
    pub(crate) fn request(
        &self,
        request: &SlotRequest,
        view: &RouterView,
        own: &RouterId,
        now: Instant,
    ) -> Option<SlotGrant> {
        let mut state = self.state.lock().expect("home lock");
        if request.is_to_standby {
            state.stand_in(request, view, own, now);
        }
        let Some(seat) = state.seats.get_mut(&request.target) else {
            return Some(refusal(request, view, SlotRefusal::NotHome));
        };
        if seat.standby_until.is_some() != request.is_to_standby {
            return Some(refusal(request, view, SlotRefusal::NotHome));
        }
        if let (Some(until), TargetHealth::Cold { .. }) =
            (&mut seat.standby_until, seat.home.health())
        {
            *until = now + STANDBY_IDLE;
            return Some(refusal(request, view, SlotRefusal::NotHome));
        }
        if let Some(until) = &mut seat.standby_until {
            *until = now + STANDBY_IDLE;
        }
        seat.home.handle_request(request, now)
    }

    /// Returns the state of each target for the status page.
    pub(crate) fn verdicts(&self) -> Vec<(TargetId, TargetHealth)> {
        let state = self.state.lock().expect("home lock");
        let seats = state.seats.values();
        seats
            .map(|seat| (seat.home.target().clone(), seat.home.health().clone()))
            .collect()
    }
}

impl HomeState {
    fn judge(&mut self, target: &RouteTarget, now: Instant) {
        let health = match (&target.group, &target.closed) {
            (_, Some(closed)) => TargetHealth::Closed {
                reason: closed.to_string(),
            },
            (Some(group), None) => GroupCheck::new(group, &self.reports).check(now),
            (None, None) => endpoint_health(&target.target, &self.reports, now),
        };
        let Some(seat) = self.seats.get_mut(&target.target) else {
            return;
        };
        if std::mem::discriminant(seat.home.health()) != std::mem::discriminant(&health) {
            info!(
                "gate: target={} state={health} {}",
                target.target,
                closed_reason(&health)
            );
        }
        seat.home.set_health(health);
    }

    fn stand_in(&mut self, request: &SlotRequest, view: &RouterView, own: &RouterId, now: Instant) {
        let is_standby = view
            .standby(&request.target)
            .is_some_and(|entry| entry.router == *own);
        let Some(target) = view.table.get(&request.target).filter(|_| is_standby) else {
            return;
        };
        self.seats.entry(request.target.clone()).or_insert_with(|| {
            info!(
                "home: standby for target={} epoch={}",
                request.target, view.list.epoch
            );
            let home = SlotHome::new(request.target.clone(), view.list.epoch, true, now);
            let mut seat = HomeSeat {
                home,
                standby_until: Some(now + STANDBY_IDLE),
            };
            seat.set_limits(target);
            seat
        });
    }
}

impl HomeSeat {
    fn set_limits(&mut self, target: &RouteTarget) {
        let divisor = if self.standby_until.is_some() {
            STANDBY_DIVISOR
        } else {
            1
        };
        self.home
            .set_limits(target.slots / divisor, target.cold_slots, target.generation);
    }
}

/// Returns the VMs or the endpoint whose reports a target depends on.
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

/// Returns a refusal because the home's own view is too old.
pub(crate) fn stale_refusal(request: &SlotRequest, view: &RouterView) -> SlotGrant {
    refusal(request, view, SlotRefusal::StaleView)
}
