//! Simulation of routers, homes and one group in virtual time with random faults.
//!
//! Decisions are made by the library code; the network, the members of the group
//! and the propagation of records are modelled here. Each start of a request is
//! checked against the actual state of the engines.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use jujuberoad::health::EnginePhase;
use jujuberoad::health::GroupCheck;
use jujuberoad::health::MemberReport;
use jujuberoad::health::REPORT_POLL_MS;
use jujuberoad::health::ReportTable;
use jujuberoad::health::TargetHealth;
use jujuberoad::membership::VIEW_VALID_MS;
use jujuberoad::placement::GroupRecord;
use jujuberoad::placement::GroupState;
use jujuberoad::placement::MemberRecord;
use jujuberoad::slots::SlotGrant;
use jujuberoad::slots::SlotHome;
use jujuberoad::slots::SlotLease;
use jujuberoad::slots::SlotRequest;
use smol_str::format_smolstr;

use super::draw;
use super::once_in;

/// Maximum time for which requests may still start on a group after it has lost a member.
pub const DETECTION_MS: u64 = 1_500;
/// Maximum time for which requests may still exceed the cold limit after an engine
/// has become cold without notice.
pub const REACTION_MS: u64 = 1_500;

const STEP_MS: u64 = 10;
const WARM_LIMIT: u32 = 12;
const COLD_LIMIT: u32 = 2;

/// Mechanisms that a control run disables one at a time.
#[derive(Clone, Copy)]
pub struct SimRules {
    /// A new home waits until earlier grants have expired.
    pub takes_over: bool,
    /// Routers check the deadline of their grant before they start a request.
    pub checks_deadline: bool,
    /// A target is closed when a report of its members is no longer fresh.
    pub checks_freshness: bool,
}

pub const ALL_RULES: SimRules = SimRules {
    takes_over: true,
    checks_deadline: true,
    checks_freshness: true,
};

/// Starts and violations in one run, according to the engines.
#[derive(Default)]
pub struct SimOutcome {
    pub starts: u64,
    pub cold_starts: u64,
    /// Starts beyond the cold limit.
    pub over_cold_limit: Vec<String>,
    /// Starts on a group that had been incomplete for longer than `DETECTION_MS`.
    pub incomplete: Vec<String>,
}

/// One accepted version of the placement records.
struct SimView {
    accepted_ms: u64,
    epoch: u64,
    home: usize,
    group: GroupRecord,
}

struct SimRouter {
    view: usize,
    view_update_ms: u64,
    is_alive: bool,
    frozen_until_ms: u64,
    lease: SlotLease,
    home: Option<SlotHome>,
    reports: ReportTable,
    next_poll_ms: u64,
    next_request_ms: u64,
    granted_slots: u32,
}

struct SimMember {
    is_alive: bool,
    revives_ms: Option<u64>,
    frozen_until_ms: u64,
    incarnation: u64,
    generation: u64,
    joining: Option<(u64, u64)>,
    cold_since_ms: u64,
    warm_at_ms: u64,
    matched_ms: BTreeMap<u64, u64>,
}

impl SimMember {
    fn kill(&mut self, revives_ms: u64) {
        self.is_alive = false;
        self.revives_ms = Some(revives_ms);
        self.joining = None;
    }
}

struct SimRequest {
    router: usize,
    ends_ms: u64,
}

enum SimMessage {
    Request(usize, SlotRequest),
    Grant(usize, SlotGrant),
    Poll(usize, usize, u64),
    Report(usize, MemberReport, u64),
}

struct SlotSim<'a, 'b> {
    u: &'a mut Unstructured<'b>,
    rules: SimRules,
    origin: Instant,
    now_ms: u64,
    views: Vec<SimView>,
    routers: Vec<SimRouter>,
    members: Vec<SimMember>,
    requests: Vec<SimRequest>,
    messages: Vec<(u64, SimMessage)>,
    outcome: SimOutcome,
    loss_odds: u32,
    max_request_interval_ms: u64,
}

/// Simulates one random history of `length_ms`.
pub fn run(
    u: &mut Unstructured<'_>,
    rules: SimRules,
    length_ms: u64,
) -> arbitrary::Result<SimOutcome> {
    let mut sim = SlotSim::new(u, rules)?;
    while sim.now_ms < length_ms {
        sim.step()?;
    }
    Ok(sim.outcome)
}

impl<'a, 'b> SlotSim<'a, 'b> {
    fn new(u: &'a mut Unstructured<'b>, rules: SimRules) -> arbitrary::Result<Self> {
        let origin = Instant::now();
        let router_count = draw(u, 2, 4)? as usize;
        let member_count = draw(u, 1, 3)? as usize;
        let mut members = Vec::new();
        for index in 0..member_count {
            members.push(SimMember {
                is_alive: true,
                revives_ms: None,
                frozen_until_ms: 0,
                incarnation: index as u64 + 1,
                generation: 1,
                joining: None,
                cold_since_ms: 0,
                warm_at_ms: draw(u, 0, 6_000)?,
                matched_ms: BTreeMap::new(),
            });
        }
        let group = group_record(1, &members);
        let views = vec![SimView {
            accepted_ms: 0,
            epoch: 1,
            home: 0,
            group,
        }];
        let mut routers = Vec::new();
        for index in 0..router_count {
            routers.push(new_router(index, 0, 0));
        }
        let (requests, messages) = (Vec::new(), Vec::new());
        let outcome = SimOutcome::default();
        let loss_odds = *u.choose(&[3, 8, 50])?;
        let max_request_interval_ms = draw(u, 60, 400)?;
        Ok(Self {
            u,
            rules,
            origin,
            now_ms: 0,
            views,
            routers,
            members,
            requests,
            messages,
            outcome,
            loss_odds,
            max_request_interval_ms,
        })
    }

    fn step(&mut self) -> arbitrary::Result<()> {
        self.now_ms += STEP_MS;
        self.inject_fault()?;
        self.step_members()?;
        self.deliver()?;
        let now_ms = self.now_ms;
        self.requests.retain(|request| now_ms < request.ends_ms);
        for index in 0..self.routers.len() {
            self.step_router(index)?;
        }
        Ok(())
    }

    fn at(&self, ms: u64) -> Instant {
        self.origin + Duration::from_millis(ms)
    }

    /// Injects a random fault in one of 255 steps.
    fn inject_fault(&mut self) -> arbitrary::Result<()> {
        if !once_in(self.u, 255)? {
            return Ok(());
        }
        let router = draw(self.u, 0, self.routers.len() as u64 - 1)? as usize;
        let member = draw(self.u, 0, self.members.len() as u64 - 1)? as usize;
        let span_ms = draw(self.u, 100, 6_000)?;
        match draw(self.u, 0, 6)? {
            0 => self.routers[router].frozen_until_ms = self.now_ms + span_ms,
            1 => self.kill_router(router)?,
            2 => self.accept(self.views.len() - 1, true)?,
            3 => self.members[member].kill(self.now_ms + span_ms),
            4 => self.members[member].frozen_until_ms = self.now_ms + span_ms,
            5 => {
                let now_ms = self.now_ms;
                let member = &mut self.members[member];
                if now_ms >= member.warm_at_ms {
                    member.cold_since_ms = now_ms;
                }
                member.warm_at_ms = now_ms + span_ms;
            }
            _ => self.members[member].kill(self.now_ms + STEP_MS),
        }
        Ok(())
    }

    fn kill_router(&mut self, index: usize) -> arbitrary::Result<()> {
        self.routers[index] = new_router(index, self.views.len() - 1, self.now_ms);
        self.routers[index].frozen_until_ms = self.now_ms + draw(self.u, 500, 3_000)?;
        for request in self
            .requests
            .iter_mut()
            .filter(|request| request.router == index)
        {
            request.ends_ms = request.ends_ms.min(self.now_ms + draw(self.u, 0, 1_500)?);
        }
        Ok(())
    }

    /// Accepts a version of the records with another home, or with the current members of
    /// the group.
    fn accept(&mut self, last: usize, moves_home: bool) -> arbitrary::Result<()> {
        let last = &self.views[last];
        let mut view = SimView {
            accepted_ms: self.now_ms,
            epoch: last.epoch,
            home: last.home,
            group: last.group.clone(),
        };
        if moves_home {
            view.epoch += 1;
            view.home = (view.home + 1) % self.routers.len();
        } else {
            view.group = group_record(view.group.generation + 1, &self.members);
            for member in &mut self.members {
                let join_ms = self.now_ms + draw(self.u, 0, 1_000)?;
                member.joining = Some((join_ms, view.group.generation));
            }
        }
        self.views.push(view);
        for router in &mut self.routers {
            router.view_update_ms = self.now_ms + draw(self.u, 0, VIEW_VALID_MS)?;
        }
        Ok(())
    }

    /// Restarts stopped members with a new incarnation and forms a new generation of the
    /// group.
    fn revive_members(&mut self) -> arbitrary::Result<()> {
        let now_ms = self.now_ms;
        for index in 0..self.members.len() {
            let member = &mut self.members[index];
            if member
                .revives_ms
                .is_none_or(|revives_ms| now_ms < revives_ms)
            {
                continue;
            }
            member.revives_ms = None;
            member.is_alive = true;
            member.incarnation += 10;
            member.generation = 0;
            self.accept(self.views.len() - 1, false)?;
        }
        Ok(())
    }

    fn step_members(&mut self) -> arbitrary::Result<()> {
        self.revive_members()?;
        let now_ms = self.now_ms;
        for member in &mut self.members {
            if !member.is_alive || now_ms < member.frozen_until_ms {
                continue;
            }
            if let Some((_, generation)) = member.joining.filter(|(join_ms, _)| now_ms >= *join_ms)
            {
                member.joining = None;
                if member.generation == 0 {
                    member.cold_since_ms = now_ms;
                    member.warm_at_ms = now_ms + draw(self.u, 1_000, 6_000)?;
                }
                member.generation = generation;
            }
            member.matched_ms.insert(member.generation, now_ms);
        }
        if !self.members[0].is_alive {
            self.requests.clear();
        }
        Ok(())
    }

    fn deliver(&mut self) -> arbitrary::Result<()> {
        let now_ms = self.now_ms;
        let messages = std::mem::take(&mut self.messages);
        let (due, later): (Vec<_>, Vec<_>) = messages
            .into_iter()
            .partition(|(due_ms, _)| now_ms >= *due_ms);
        self.messages = later;
        for (due_ms, message) in due {
            if let Some(message) = self.receive(message)? {
                // The receiver is frozen; keep the message until it resumes.
                self.messages.push((due_ms, message));
            }
        }
        Ok(())
    }

    fn receive(&mut self, message: SimMessage) -> arbitrary::Result<Option<SimMessage>> {
        let now = self.at(self.now_ms);
        match message {
            SimMessage::Request(home, request) => {
                if !self.is_running(home) {
                    return Ok(Some(SimMessage::Request(home, request)));
                }
                let requester: usize = request.router[1..].parse().unwrap_or(0);
                let may_act = self.may_act(home);
                let slot_home = self.routers[home].home.as_mut().filter(|_| may_act);
                if let Some(grant) =
                    slot_home.and_then(|slot_home| slot_home.handle_request(&request, now))
                {
                    self.send(SimMessage::Grant(requester, grant), 250)?;
                }
            }
            SimMessage::Grant(router, grant) => {
                if !self.is_running(router) {
                    return Ok(Some(SimMessage::Grant(router, grant)));
                }
                if self.routers[router].lease.apply(&grant) {
                    self.routers[router].granted_slots = grant.slots;
                }
            }
            SimMessage::Poll(home, member, polled_ms) => {
                let polled_member = &self.members[member];
                if !polled_member.is_alive {
                    return Ok(None);
                }
                if self.now_ms < polled_member.frozen_until_ms {
                    return Ok(Some(SimMessage::Poll(home, member, polled_ms)));
                }
                let report = self.report(member);
                self.send(SimMessage::Report(home, report, polled_ms), 500)?;
            }
            SimMessage::Report(home, report, polled_ms) => {
                if !self.is_running(home) {
                    return Ok(Some(SimMessage::Report(home, report, polled_ms)));
                }
                let polled_at = self.at(polled_ms);
                let router = &mut self.routers[home];
                if let Some(slot_home) = router.home.as_mut().filter(|_| report.vm == "m0") {
                    slot_home.observe_load(report.in_flight, polled_at, now);
                }
                router.reports.record(report, polled_at);
            }
        }
        Ok(None)
    }

    fn report(&self, member: usize) -> MemberReport {
        let polled_member = &self.members[member];
        let is_warm = self.now_ms >= polled_member.warm_at_ms;
        MemberReport {
            vm: format_smolstr!("m{member}"),
            incarnation: polled_member.incarnation,
            group: "g".into(),
            generation: polled_member.generation,
            model: "model".into(),
            version: "v1".into(),
            phase: if is_warm {
                EnginePhase::Warm
            } else {
                EnginePhase::Cold
            },
            in_flight: self.requests.len() as u64,
            age_ms: 0,
            fence: 0,
        }
    }

    fn send(&mut self, message: SimMessage, max_delay_ms: u64) -> arbitrary::Result<()> {
        if once_in(self.u, self.loss_odds)? {
            return Ok(());
        }
        let due_ms = self.now_ms + draw(self.u, 0, max_delay_ms)?;
        self.messages.push((due_ms, message));
        Ok(())
    }

    fn is_running(&self, router: usize) -> bool {
        self.now_ms >= self.routers[router].frozen_until_ms
    }

    /// Returns whether a router's view is recent enough to act on.
    fn may_act(&self, router: usize) -> bool {
        let next = self.views.get(self.routers[router].view + 1);
        next.is_none_or(|next| self.now_ms < next.accepted_ms + VIEW_VALID_MS)
    }

    fn step_router(&mut self, index: usize) -> arbitrary::Result<()> {
        if !self.is_running(index) {
            return Ok(());
        }
        if self.now_ms >= self.routers[index].view_update_ms {
            self.routers[index].view = self.views.len() - 1;
        }
        self.step_home(index)?;
        if !self.may_act(index) {
            return Ok(());
        }
        self.request_slots(index)?;
        self.start_request(index)
    }

    fn step_home(&mut self, index: usize) -> arbitrary::Result<()> {
        let now = self.at(self.now_ms);
        let view = &self.views[self.routers[index].view];
        let takes_over = self.rules.takes_over;
        let router = &mut self.routers[index];
        if view.home != index {
            router.home = None;
            return Ok(());
        }
        let slot_home = router
            .home
            .get_or_insert_with(|| SlotHome::new("g".into(), view.epoch, takes_over, now));
        slot_home.set_epoch(view.epoch);
        slot_home.set_limits(WARM_LIMIT, COLD_LIMIT, view.group.generation);
        let mut health = GroupCheck::new(&view.group, &router.reports).check(now);
        let is_stale = matches!(&health, TargetHealth::Closed { .. });
        if is_stale && !self.rules.checks_freshness {
            health = TargetHealth::Warm {
                until: now + Duration::from_secs(5),
            };
        }
        slot_home.set_health(health);
        if self.now_ms < router.next_poll_ms {
            return Ok(());
        }
        router.next_poll_ms = self.now_ms + REPORT_POLL_MS;
        for member in 0..self.members.len() {
            self.send(SimMessage::Poll(index, member, self.now_ms), 100)?;
        }
        Ok(())
    }

    fn request_slots(&mut self, index: usize) -> arbitrary::Result<()> {
        if self.now_ms < self.routers[index].next_request_ms {
            return Ok(());
        }
        let now = self.at(self.now_ms);
        self.routers[index].next_request_ms =
            self.now_ms + draw(self.u, 50, self.max_request_interval_ms)?;
        let wanted = draw(self.u, 0, 4)? as u32;
        let view = &self.views[self.routers[index].view];
        let home = view.home;
        let request = self.routers[index]
            .lease
            .next_request(view.epoch, wanted, now);
        self.send(SimMessage::Request(home, request), 250)
    }

    fn start_request(&mut self, index: usize) -> arbitrary::Result<()> {
        let now = self.at(self.now_ms);
        let generation = self.views[self.routers[index].view].group.generation;
        let in_use = self
            .requests
            .iter()
            .filter(|request| request.router == index)
            .count() as u32;
        let router = &mut self.routers[index];
        while router.lease.in_use() > in_use {
            router.lease.release();
        }
        let permit = router.lease.acquire(generation, now);
        let is_forced = !self.rules.checks_deadline && in_use < router.granted_slots;
        if permit.is_none() && !is_forced {
            return Ok(());
        }
        let ends_ms = self.now_ms + draw(self.u, 50, 3_000)?;
        if self.members[0].is_alive {
            self.requests.push(SimRequest {
                router: index,
                ends_ms,
            });
            self.check_start(index, generation);
        }
        Ok(())
    }

    /// Checks a request start against the actual state of the engines.
    fn check_start(&mut self, router: usize, generation: u64) {
        self.outcome.starts += 1;
        let now_ms = self.now_ms;
        for (index, member) in self.members.iter().enumerate() {
            let matched_ms = member.matched_ms.get(&generation).copied().unwrap_or(0);
            if now_ms - matched_ms > DETECTION_MS {
                let text = format!("{now_ms}: router {router} member {index} since {matched_ms}");
                self.outcome.incomplete.push(text);
            }
        }
        let cold: Vec<&SimMember> = self
            .members
            .iter()
            .filter(|member| now_ms < member.warm_at_ms)
            .collect();
        let Some(since_ms) = cold.iter().map(|member| member.cold_since_ms).min() else {
            return;
        };
        self.outcome.cold_starts += 1;
        let is_settled = since_ms == 0 || now_ms >= since_ms + REACTION_MS;
        if is_settled && self.requests.len() > COLD_LIMIT as usize {
            let text = format!(
                "{now_ms}: router {router}, {} in flight",
                self.requests.len()
            );
            self.outcome.over_cold_limit.push(text);
        }
    }
}

fn new_router(index: usize, view: usize, incarnation: u64) -> SimRouter {
    SimRouter {
        view,
        view_update_ms: 0,
        is_alive: true,
        frozen_until_ms: 0,
        lease: SlotLease::new("g".into(), format_smolstr!("r{index}"), incarnation),
        home: None,
        reports: ReportTable::default(),
        next_poll_ms: 0,
        next_request_ms: 0,
        granted_slots: 0,
    }
}

fn group_record(generation: u64, members: &[SimMember]) -> GroupRecord {
    let mut records = Vec::new();
    for (index, member) in members.iter().enumerate() {
        records.push(MemberRecord {
            vm: format_smolstr!("m{index}"),
            incarnation: member.incarnation,
            address: ([127, 0, 0, 1], 1).into(),
        });
    }
    GroupRecord {
        group: "g".into(),
        generation,
        domain: "d".into(),
        model: "model".into(),
        version: "v1".into(),
        adapters: Vec::new(),
        state: GroupState::Active,
        members: records,
    }
}
