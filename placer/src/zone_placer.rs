//! Places the groups of one availability zone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::config::ConfigRecord;
use jujuberoad::config::FleetConfig;
use jujuberoad::config::VmSpec;
use jujuberoad::health::EnginePhase;
use jujuberoad::health::MemberReport;
use jujuberoad::ids::GroupId;
use jujuberoad::ids::StoreVersion;
use jujuberoad::ids::VmId;
use jujuberoad::ids::ZoneId;
use jujuberoad::membership::VIEW_VALID_MS;
use jujuberoad::placement::DrainClock;
use jujuberoad::placement::PlacementRecord;
use jujuberoad::placement::PlanInput;
use jujuberoad::placement::ReplicaShare;
use jujuberoad::placement::VmStatus;
use jujuberoad_node::backends::VmListing;
use serde::de::DeserializeOwned;
use spdlog::info;
use spdlog::warn;

use crate::placer_core::PlacerCore;
use crate::reports_poll::poll_reports;
use crate::router_fold::RouterFold;
use crate::zone_error::ZoneError;
use crate::zone_lease::STORE_LIMIT;
use crate::zone_lease::ZoneLease;
use crate::zone_orders::ORDER_LIMIT;
use crate::zone_orders::give_orders;

/// Time between two rounds.
const ROUND_PERIOD: Duration = Duration::from_millis(500);
/// Time without a report after which a VM counts as missing.
const MISSING_LIMIT: Duration = Duration::from_millis(3_000);
/// Time for which a placer of another zone lets the zone's own placers go first.
const FOREIGN_DELAY: Duration = Duration::from_millis(2_000);

/// The placer of one availability zone, active or waiting.
pub(crate) struct ZonePlacer {
    core: Arc<PlacerCore>,
    zone: ZoneId,
    lease: Option<ZoneLease>,
    term: Option<PlacerTerm>,
    drains: DrainClock,
    heard: BTreeMap<VmId, HeardReport>,
    fold: RouterFold,
    free_since: Option<Instant>,
}

/// The time of office of an active placer.
#[derive(Clone, Debug)]
struct PlacerTerm {
    record: PlacementRecord,
    version: StoreVersion,
    orders_from: Instant,
    listens_until: Instant,
}

#[derive(Clone, Debug)]
struct HeardReport {
    report: MemberReport,
    missing_at: Instant,
}

impl ZonePlacer {
    /// Prepares to place the groups of `zone`.
    pub(crate) fn new(core: Arc<PlacerCore>, zone: ZoneId) -> Self {
        Self {
            core,
            zone,
            lease: None,
            term: None,
            drains: DrainClock::default(),
            heard: BTreeMap::new(),
            fold: RouterFold::new(Instant::now()),
            free_since: None,
        }
    }

    /// Runs one round after the other for ever.
    pub(crate) async fn run(mut self) {
        loop {
            let next_at = Instant::now() + ROUND_PERIOD;
            if let Err(problem) = self.round().await {
                warn!("place: {problem}");
                if !self
                    .lease
                    .is_some_and(|lease| lease.is_held(Instant::now()))
                {
                    self.step_down();
                }
            }
            smol::Timer::at(next_at).await;
        }
    }

    async fn round(&mut self) -> Result<(), ZoneError> {
        if !self.hold_lease().await? {
            return Ok(());
        }
        let Some(config) = self.read_config().await? else {
            return Ok(());
        };
        if self.term.is_none() {
            self.begin_term().await?;
        }
        let reports = self.hear(&config).await;
        let listings = self.read_listings().await?;
        self.place(&config, &listings).await?;
        let now = Instant::now();
        if let (Some(lease), Some(term)) = (&self.lease, &self.term)
            && now >= term.orders_from
        {
            give_orders(&self.core, lease, &config, &term.record, &reports);
        }
        let folded = self.fold.run(&self.core, &self.zone).await;
        folded.map_err(|source| self.store_error("fold", source))
    }

    async fn hold_lease(&mut self) -> Result<bool, ZoneError> {
        let now = Instant::now();
        if let Some(lease) = &mut self.lease {
            let renewed = lease.renew(&self.core, &self.zone).await;
            let is_held = lease.is_held(Instant::now());
            if renewed.is_err() || !is_held {
                self.step_down();
            }
            return renewed.map(|()| is_held);
        }
        let is_foreign = self.zone != self.core.settings.zone;
        let free_since = *self.free_since.get_or_insert(now);
        if is_foreign && now < free_since + FOREIGN_DELAY {
            return Ok(false);
        }
        self.lease = ZoneLease::acquire(&self.core, &self.zone).await?;
        if self.lease.is_none() {
            self.free_since = None;
        }
        Ok(self.lease.is_some())
    }

    fn step_down(&mut self) {
        if self.lease.take().is_some() {
            info!("lease: zone={} is no longer held", self.zone);
        }
        self.term = None;
        self.free_since = None;
    }

    /// Raises the fence in the record, so that no earlier placer can write it.
    async fn begin_term(&mut self) -> Result<(), ZoneError> {
        let key = self.record_key();
        let stored = self
            .core
            .store
            .get(&key, Instant::now() + STORE_LIMIT)
            .await;
        let stored = stored.map_err(|source| self.store_error("read", source))?;
        let (record, version) = match stored {
            Some(stored) => (self.decode(&key, &stored.bytes)?, stored.version),
            None => (PlacementRecord::empty(self.zone.clone()), 0),
        };
        let now = Instant::now();
        let fenced = PlacementRecord {
            fence: record.fence + 1,
            ..record
        };
        self.term = Some(PlacerTerm {
            record: fenced.clone(),
            version,
            orders_from: now + ORDER_LIMIT,
            listens_until: now + MISSING_LIMIT,
        });
        let written = self.write(fenced).await;
        if written.is_err() {
            self.term = None;
        }
        written
    }

    async fn hear(&mut self, config: &FleetConfig) -> Vec<MemberReport> {
        let vms: Vec<&VmSpec> = config
            .vms
            .values()
            .filter(|vm| vm.zone == self.zone)
            .collect();
        let reports = poll_reports(&self.core.control, vms).await;
        let missing_at = Instant::now() + MISSING_LIMIT;
        for report in &reports {
            let heard = HeardReport {
                report: report.clone(),
                missing_at,
            };
            self.heard.insert(report.vm.clone(), heard);
        }
        reports
    }

    async fn place(
        &mut self,
        config: &FleetConfig,
        listings: &BTreeMap<VmId, VmListing>,
    ) -> Result<(), ZoneError> {
        let now = Instant::now();
        let Some(term) = &self.term else {
            return Ok(());
        };
        if now < term.listens_until {
            return Ok(());
        }
        let vms = self.statuses(config, listings, &term.record, now);
        let wanted = ReplicaShare::of(config).of_zone(&self.zone);
        let drained = self
            .drains
            .drained(now, |group| self.is_empty(&term.record, group));
        let input = PlanInput {
            config,
            current: &term.record,
            vms: &vms,
            wanted: &wanted,
            drained: &drained,
        };
        let planned = self.core.planner.plan(&input);
        if planned != term.record {
            log_changes(&self.zone, &term.record, &planned);
            self.write(planned).await?;
        }
        let quiet_from = now + Duration::from_millis(VIEW_VALID_MS);
        let ends_at = now + Duration::from_millis(config.limits.drain_limit_ms);
        if let Some(term) = &self.term {
            self.drains.observe(&term.record, quiet_from, ends_at);
            self.core
                .metrics
                .gauge("groups", term.record.groups.len() as u64);
        }
        Ok(())
    }

    fn statuses(
        &self,
        config: &FleetConfig,
        listings: &BTreeMap<VmId, VmListing>,
        record: &PlacementRecord,
        now: Instant,
    ) -> BTreeMap<VmId, VmStatus> {
        let mut statuses = BTreeMap::new();
        for vm in config.vms.values().filter(|vm| vm.zone == self.zone) {
            let Some(heard) = self.heard.get(&vm.vm) else {
                continue;
            };
            if now >= heard.missing_at {
                continue;
            }
            let report = &heard.report;
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
            };
            statuses.insert(vm.vm.clone(), status);
        }
        statuses
    }

    fn is_empty(&self, record: &PlacementRecord, group: &GroupId) -> bool {
        let Some(group) = record.groups.get(group) else {
            return true;
        };
        let Some(leader) = group.members.first() else {
            return true;
        };
        self.heard
            .get(&leader.vm)
            .is_none_or(|heard| heard.report.in_flight == 0)
    }

    /// Writes `record`; a write whose answer was lost is settled by reading back.
    async fn write(&mut self, mut record: PlacementRecord) -> Result<(), ZoneError> {
        let Some(term) = &self.term else {
            return Ok(());
        };
        record.fence = term.record.fence.max(record.fence);
        record.nonce = fastrand::u64(..);
        let key = self.record_key();
        let value = serde_json::to_vec(&record).unwrap_or_default().into();
        let expected = term.version;
        let deadline = Instant::now() + STORE_LIMIT;
        let version = match self
            .core
            .store
            .put(&key, expected, value, None, deadline)
            .await
        {
            Ok(version) => version,
            Err(problem) if problem.is_in_doubt() => self.settle(&key, &record).await?,
            Err(problem) => {
                self.term = None;
                return Err(self.store_error("write", problem));
            }
        };
        if let Some(term) = &mut self.term {
            term.record = record;
            term.version = version;
        }
        Ok(())
    }

    /// Finds out whether `record` was written although no answer came.
    async fn settle(
        &mut self,
        key: &str,
        record: &PlacementRecord,
    ) -> Result<StoreVersion, ZoneError> {
        let read = self.core.store.get(key, Instant::now() + STORE_LIMIT).await;
        let is_own = |found: &PlacementRecord| found.nonce == record.nonce;
        if let Ok(Some(stored)) = &read
            && let Ok(found) = self.decode::<PlacementRecord>(key, &stored.bytes)
            && is_own(&found)
        {
            return Ok(stored.version);
        }
        // The write may still arrive; a new term begins with a read of its own.
        self.term = None;
        match read {
            Err(source) => Err(self.store_error("read back", source)),
            Ok(_) => Err(ZoneError::Fenced {
                zone: self.zone.clone(),
                fence: record.fence,
            }),
        }
    }

    async fn read_config(&self) -> Result<Option<FleetConfig>, ZoneError> {
        let read = self
            .core
            .store
            .get("config", Instant::now() + STORE_LIMIT)
            .await;
        let Some(stored) = read.map_err(|source| self.store_error("config", source))? else {
            return Ok(None);
        };
        let record: ConfigRecord = self.decode("config", &stored.bytes)?;
        match FleetConfig::parse(&record.files) {
            Ok(config) => Ok(Some(config)),
            Err(problems) => Err(ZoneError::Record {
                zone: self.zone.clone(),
                key: "config".to_owned(),
                message: format!("{} problems", problems.len()),
            }),
        }
    }

    async fn read_listings(&self) -> Result<BTreeMap<VmId, VmListing>, ZoneError> {
        let listed = self.core.directory.list(Instant::now() + STORE_LIMIT).await;
        let listed = listed.map_err(|source| ZoneError::Directory {
            zone: self.zone.clone(),
            source,
        })?;
        Ok(listed
            .into_iter()
            .map(|listing| (listing.vm.clone(), listing))
            .collect())
    }

    fn record_key(&self) -> String {
        format!("placement/{}", self.zone)
    }

    fn decode<T: DeserializeOwned>(&self, key: &str, bytes: &[u8]) -> Result<T, ZoneError> {
        serde_json::from_slice(bytes).map_err(|error| ZoneError::Record {
            zone: self.zone.clone(),
            key: key.to_owned(),
            message: error.to_string(),
        })
    }

    fn store_error(
        &self,
        step: &'static str,
        source: jujuberoad_node::backends::StoreError,
    ) -> ZoneError {
        ZoneError::Store {
            zone: self.zone.clone(),
            step,
            source,
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
            info!("place: zone={zone} group={name} is dissolved");
        }
    }
}
