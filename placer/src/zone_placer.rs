//! Placement loop of one availability zone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::config::FleetConfig;
use jujuberoad::config::VmSpec;
use jujuberoad::health::EnginePhase;
use jujuberoad::health::MemberReport;
use jujuberoad::ids::GroupId;
use jujuberoad::ids::ModelId;
use jujuberoad::ids::VmId;
use jujuberoad::ids::ZoneId;
use jujuberoad::membership::VIEW_VALID_MS;
use jujuberoad::placement::DrainTracker;
use jujuberoad::placement::PlacementRecord;
use jujuberoad::placement::PlacementWrite;
use jujuberoad::placement::PlacerTerm;
use jujuberoad::placement::PlanInput;
use jujuberoad::placement::ReplicaShare;
use jujuberoad::placement::TermStep;
use jujuberoad::placement::VM_MISSING_AFTER_MS;
use jujuberoad::placement::VmStatus;
use jujuberoad::placement::WriteAnswer;
use jujuberoad_node::backends::VmListing;
use spdlog::info;
use spdlog::warn;

use crate::placer_core::PlacerCore;
use crate::reports_poll::poll_reports;
use crate::router_expiry::RouterExpiry;
use crate::zone_error::ZoneError;
use crate::zone_lease::STORE_TIMEOUT;
use crate::zone_lease::ZoneLease;
use crate::zone_orders::send_orders;
use crate::zone_reader::ZoneReader;

/// Interval between the starts of two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a placer of another zone tries to acquire the lease, so that the zone's own
/// placers go first.
const REMOTE_ZONE_DELAY: Duration = Duration::from_millis(2_000);

/// Interval between attempts of a candidate to acquire the lease.
const CANDIDATE_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between attempts of other placers, which take over if all candidates have failed.
const NON_CANDIDATE_RETRY_INTERVAL: Duration = Duration::from_secs(60);

/// The placer of one availability zone, active or waiting.
pub(crate) struct ZonePlacer {
    core: Arc<PlacerCore>,
    zone: ZoneId,
    lease: Option<ZoneLease>,
    term: Option<PlacerTerm>,
    reader: ZoneReader,
    drains: DrainTracker,
    preloads: BTreeMap<VmId, ModelId>,
    received: BTreeMap<VmId, ReceivedReport>,
    expiry: RouterExpiry,
    lease_free_since: Option<Instant>,
    next_attempt_at: Instant,
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    report: MemberReport,
    missing_at: Instant,
}

impl ZonePlacer {
    /// Creates a placer for `zone` that does not hold the lease yet.
    pub(crate) fn new(core: Arc<PlacerCore>, zone: ZoneId) -> Self {
        let reader = ZoneReader::new(Arc::clone(&core), zone.clone());
        Self {
            core,
            zone,
            reader,
            lease: None,
            term: None,
            drains: DrainTracker::default(),
            preloads: BTreeMap::new(),
            received: BTreeMap::new(),
            expiry: RouterExpiry::new(Instant::now()),
            lease_free_since: None,
            next_attempt_at: Instant::now(),
        }
    }

    /// Runs rounds of placement without end.
    pub(crate) async fn run(mut self) {
        loop {
            let next_round_at = Instant::now() + ROUND_INTERVAL;
            if let Err(problem) = self.run_round().await {
                warn!("place: round failed: {problem}");
                if !self
                    .lease
                    .is_some_and(|lease| lease.is_held(Instant::now()))
                {
                    self.step_down();
                }
            }
            smol::Timer::at(next_round_at).await;
        }
    }

    async fn run_round(&mut self) -> Result<(), ZoneError> {
        if !self.ensure_lease().await? {
            return Ok(());
        }
        let Some(config) = self.reader.read_config().await? else {
            return Ok(());
        };
        self.begin_term().await?;
        let reports = self.collect_reports(&config).await;
        let listings = self.reader.read_listings().await?;
        self.update_placement(&config, &listings).await?;
        let now = Instant::now();
        if let (Some(lease), Some(term)) = (&self.lease, &self.term)
            && term.may_order(now)
        {
            send_orders(
                &self.core,
                lease,
                &config,
                term.record(),
                &self.preloads,
                &reports,
            );
        }
        let checked = self.expiry.run(&self.core, &self.zone).await;
        checked.map_err(|source| self.reader.store_error("fold", source))
    }

    async fn ensure_lease(&mut self) -> Result<bool, ZoneError> {
        let now = Instant::now();
        if let Some(lease) = &mut self.lease {
            let renewed = lease.renew(&self.core, &self.zone).await;
            let is_held = lease.is_held(Instant::now());
            if renewed.is_err() || !is_held {
                self.step_down();
            }
            return renewed.map(|()| is_held);
        }
        let is_remote_zone = self.zone != self.core.settings.zone;
        let lease_free_since = *self.lease_free_since.get_or_insert(now);
        if is_remote_zone && now < lease_free_since + REMOTE_ZONE_DELAY {
            return Ok(false);
        }
        if now < self.next_attempt_at {
            return Ok(false);
        }
        let is_candidate = self.core.is_candidate(&self.zone);
        self.next_attempt_at = now
            + if is_candidate {
                CANDIDATE_RETRY_INTERVAL
            } else {
                NON_CANDIDATE_RETRY_INTERVAL
            };
        self.lease = ZoneLease::acquire(&self.core, &self.zone).await?;
        if self.lease.is_none() {
            self.lease_free_since = None;
        }
        Ok(self.lease.is_some())
    }

    fn step_down(&mut self) {
        if self.lease.take().is_some() {
            info!("lease: zone={} is no longer held", self.zone);
        }
        self.term = None;
        self.lease_free_since = None;
    }

    /// Starts a term by raising the fence in the record, so that no earlier placer can write it.
    async fn begin_term(&mut self) -> Result<(), ZoneError> {
        if self.term.is_some() {
            return Ok(());
        }
        let found = self.reader.read_record().await?;
        let mut term = PlacerTerm::begin(&self.zone, found, Instant::now());
        let Some(write) = term.raise_fence(fastrand::u64(..)) else {
            return Ok(());
        };
        self.term = Some(term);
        self.write_record(write).await
    }

    async fn collect_reports(&mut self, config: &FleetConfig) -> Vec<MemberReport> {
        let vms: Vec<&VmSpec> = config
            .vms
            .values()
            .filter(|vm| vm.zone == self.zone)
            .collect();
        let reports = poll_reports(&self.core.control, vms).await;
        let missing_at = Instant::now() + Duration::from_millis(VM_MISSING_AFTER_MS);
        for report in &reports {
            let received = ReceivedReport {
                report: report.clone(),
                missing_at,
            };
            self.received.insert(report.vm.clone(), received);
        }
        reports
    }

    async fn update_placement(
        &mut self,
        config: &FleetConfig,
        listings: &BTreeMap<VmId, VmListing>,
    ) -> Result<(), ZoneError> {
        let now = Instant::now();
        let Some(term) = &self.term else {
            return Ok(());
        };
        if !term.may_place(now) {
            return Ok(());
        }
        let vms = self.vm_statuses(config, listings, term.record(), now);
        let wanted = ReplicaShare::of(config).of_zone(&self.zone);
        let drained = self
            .drains
            .drained(now, |group| self.is_idle(term.record(), group));
        let input = PlanInput {
            config,
            current: term.record(),
            vms: &vms,
            wanted: &wanted,
            drained: &drained,
        };
        let planned = self.core.planner.plan(&input);
        self.preloads = self.core.planner.preloads(&input, &planned);
        if planned != *term.record() {
            log_changes(&self.zone, term.record(), &planned);
            let write = self
                .term
                .as_mut()
                .map(|term| term.propose(planned, fastrand::u64(..)));
            if let Some(write) = write {
                self.write_record(write).await?;
            }
        }
        let idle_from = now + Duration::from_millis(VIEW_VALID_MS);
        let ends_at = now + Duration::from_millis(config.limits.drain_timeout_ms);
        if let Some(term) = &self.term {
            self.drains.observe(term.record(), idle_from, ends_at);
            self.core
                .metrics
                .gauge("groups", term.record().groups.len() as u64);
        }
        Ok(())
    }

    fn vm_statuses(
        &self,
        config: &FleetConfig,
        listings: &BTreeMap<VmId, VmListing>,
        record: &PlacementRecord,
        now: Instant,
    ) -> BTreeMap<VmId, VmStatus> {
        let mut statuses = BTreeMap::new();
        for vm in config.vms.values().filter(|vm| vm.zone == self.zone) {
            let Some(received) = self.received.get(&vm.vm) else {
                continue;
            };
            if now >= received.missing_at {
                continue;
            }
            let report = &received.report;
            let is_leaving = listings.get(&vm.vm).is_some_and(|listing| listing.leaving);
            let is_loaded = matches!(report.phase, EnginePhase::Cold | EnginePhase::Warm);
            let group = record.group_of(&vm.vm);
            let is_current = group.is_some_and(|group| {
                group.group == report.group && group.generation == report.generation
            });
            let status = VmStatus {
                incarnation: report.incarnation,
                leaving: vm.leaving || is_leaving,
                ready: is_loaded && is_current,
                model: report.model.clone(),
            };
            statuses.insert(vm.vm.clone(), status);
        }
        statuses
    }

    fn is_idle(&self, record: &PlacementRecord, group: &GroupId) -> bool {
        let Some(group) = record.groups.get(group) else {
            return true;
        };
        let Some(leader) = group.members.first() else {
            return true;
        };
        self.received
            .get(&leader.vm)
            .is_none_or(|received| received.report.in_flight == 0)
    }

    /// Writes the placement record.
    ///
    /// If the result of the write is unknown, the record is read back to
    /// determine whether the write took effect.
    async fn write_record(&mut self, write: PlacementWrite) -> Result<(), ZoneError> {
        let key = self.reader.record_key();
        let value = serde_json::to_vec(&write.record).unwrap_or_default().into();
        let deadline = Instant::now() + STORE_TIMEOUT;
        let put = self
            .core
            .store
            .put(&key, write.expected, value, None, deadline)
            .await;
        let answer = match &put {
            Ok(version) => WriteAnswer::Written(*version),
            Err(problem) if problem.is_in_doubt() => WriteAnswer::InDoubt,
            Err(_) => WriteAnswer::Refused,
        };
        let mut step = self
            .term
            .as_mut()
            .map_or(TermStep::End, |term| term.answered(answer));
        if step == TermStep::ReadBack {
            // If this read fails, the write remains in doubt and the next term resolves it.
            let found = self.reader.read_record().await.unwrap_or_default();
            step = self
                .term
                .as_mut()
                .map_or(TermStep::End, |term| term.read_back(found));
        }
        if step == TermStep::Continue {
            return Ok(());
        }
        self.term = None;
        match put {
            Err(source) => Err(self.reader.store_error("write", source)),
            Ok(_) => Err(ZoneError::Fenced {
                zone: self.zone.clone(),
                fence: write.record.fence,
            }),
        }
    }
}

fn log_changes(zone: &ZoneId, before: &PlacementRecord, after: &PlacementRecord) {
    for (name, group) in &after.groups {
        if before.groups.get(name) == Some(group) {
            continue;
        }
        let members: Vec<&VmId> = group.members.iter().map(|member| &member.vm).collect();
        info!(
            "place: zone={zone} group={name} generation={} state={} model={} members={members:?}",
            group.generation, group.state, group.model
        );
    }
    for name in before.groups.keys() {
        if !after.groups.contains_key(name) {
            info!("place: zone={zone} group={name} removed");
        }
    }
}
