//! Authority over restores of the store, in virtual time.

use std::time::Duration;

use fastrand::Rng;
use insta::assert_snapshot;
use jujuberoad::era::EraTracker;
use jujuberoad::era::StoreEra;
use jujuberoad::era::era_version;
use jujuberoad::fleet::OrderAuthority;
use jujuberoad::ids::Fence;

/// Time to live of a lease.
const LEASE_MS: u64 = 2_000;
/// Interval between renewals.
const RENEW_MS: u64 = 600;
/// Time between acquiring the lock in a new era and the first order.
const ORDER_DELAY_MS: u64 = 400;
/// Interval between the messages in which the holder tells its fence to its peer.
const DIGEST_MS: u64 = 200;
/// Step of virtual time.
const STEP_MS: u64 = 50;

/// The store: who holds the lock, and what a copy of it holds.
#[derive(Clone, Default)]
struct SimStore {
    era: StoreEra,
    revision: u64,
    /// Holder of the lock, its version and the time at which its lease expires.
    lock: Option<(usize, u64, u64)>,
}

impl SimStore {
    fn expire(&mut self, now: u64) {
        if self.lock.is_some_and(|(_, _, until)| now >= until) {
            self.lock = None;
            self.revision += 1;
        }
    }
}

/// A router that competes for the lock.
struct SimPlacer {
    authority: OrderAuthority,
    eras: EraTracker,
    next_renewal_at: u64,
    paused_until: u64,
    has_lease: bool,
    /// Highest fence in messages of the peer that were not read yet.
    heard: Option<Fence>,
}

impl SimPlacer {
    fn new() -> Self {
        Self {
            authority: OrderAuthority::default(),
            eras: EraTracker::default(),
            next_renewal_at: 0,
            paused_until: 0,
            has_lease: false,
            heard: None,
        }
    }

    /// Renews the lease and acquires the lock if it is free.
    fn renew(&mut self, index: usize, store: &mut SimStore, now: u64, guards: Guards) {
        let known = self.eras.newest();
        self.eras.observe(store.era);
        if guards.reads_eras && known != Some(store.era) {
            self.authority.era_begun(store.era);
            self.has_lease = false;
        }
        let at = Duration::from_millis;
        let held = store.lock.filter(|(holder, _, _)| *holder == index);
        match (held, store.lock) {
            // Without eras, a lock that reappears with the copy is taken for an own one.
            (Some((_, version, until)), _) if self.has_lease || !guards.reads_eras => {
                store.lock = Some((index, version, until.max(now + LEASE_MS)));
                self.authority.lease_renewed(at(now + LEASE_MS));
                if self.authority.fence().is_none() {
                    self.authority.lock_acquired(version);
                }
            }
            (_, Some(_)) => self.authority.lock_lost(),
            (_, None) => {
                store.revision += 1;
                let era = if guards.reads_eras { store.era } else { 0 };
                let version = era_version(era, store.revision);
                store.lock = Some((index, version, now + LEASE_MS));
                self.has_lease = true;
                self.authority.lock_lost();
                self.authority.lease_renewed(at(now + LEASE_MS));
                self.authority.lock_acquired(version);
                if store.era > 0 {
                    self.authority.delay_orders(at(now + ORDER_DELAY_MS));
                }
            }
        }
    }
}

/// Which guards are on; a control run switches one off.
#[derive(Clone, Copy)]
struct Guards {
    reads_eras: bool,
    engines_check_fences: bool,
}

/// Runs two placers over restores, pauses and outages; returns the violations: fences that go
/// back at the engines, and orders of both placers within one step.
fn run(seed: u64, guards: Guards) -> Vec<String> {
    let mut rng = Rng::with_seed(seed);
    let mut store = SimStore::default();
    let mut copies: Vec<SimStore> = Vec::new();
    let mut placers = [SimPlacer::new(), SimPlacer::new()];
    let mut away_until = 0;
    let mut highest: Fence = 0;
    let mut last_order: Option<(usize, Fence)> = None;
    let mut violations = Vec::new();
    for now in (0..30_000).step_by(STEP_MS as usize) {
        store.expire(now);
        copies.push(store.clone());
        if rng.usize(0..150) == 0 {
            let age = rng.usize(10..80).min(copies.len() - 1);
            let era = store.era + 1;
            store = copies[copies.len() - 1 - age].clone();
            store.era = era;
            if let Some((_, _, until)) = &mut store.lock {
                *until = (*until).max(now + LEASE_MS);
            }
            away_until = now + rng.u64(0..1_500);
        }
        for index in 0..placers.len() {
            if rng.usize(0..120) == 0 {
                placers[index].paused_until = now + rng.u64(500..5_000);
            }
            if now < placers[index].paused_until {
                continue;
            }
            if now >= placers[index].next_renewal_at {
                placers[index].next_renewal_at = now + RENEW_MS;
                if now < away_until {
                    let at = Duration::from_millis(now);
                    placers[index].authority.store_failed(at);
                } else {
                    placers[index].renew(index, &mut store, now, guards);
                }
            }
            let at = Duration::from_millis(now);
            if now.is_multiple_of(DIGEST_MS)
                && let Some(announced) = placers[index].authority.announced(at)
            {
                let other = &mut placers[1 - index];
                other.heard = other.heard.max(Some(announced));
            }
            // A process that was paused reads what its socket holds before it goes on.
            if let Some(heard) = placers[index].heard.take() {
                placers[index].authority.observe_peer_fence(heard);
            }
            let Some(fence) = placers[index].authority.current(at) else {
                continue;
            };
            if guards.engines_check_fences && fence < highest {
                placers[index].authority.revoke(fence);
                continue;
            }
            if fence < highest {
                violations.push(format!("{now} ms: fence {fence} after {highest}"));
            }
            if let Some((holder, used)) = last_order
                && holder != index
                && used == fence
            {
                violations.push(format!("{now} ms: fence {fence} of both placers"));
            }
            highest = highest.max(fence);
            last_order = Some((index, fence));
        }
    }
    violations
}

#[test]
fn versions_rise_over_eras() {
    let versions: Vec<u64> = [(0, 90_000), (1, 89_000), (1, 89_001), (2, 88_000)]
        .into_iter()
        .map(|(era, revision)| era_version(era, revision))
        .collect();
    assert!(
        versions.is_sorted_by(|left, right| left < right),
        "{versions:?}"
    );
    // A group epoch is a million times the fence and fits into 53 bits for 500 restores.
    assert!(era_version(500, 1 << 24).saturating_mul(1_000_000) < 1 << 53);
    assert_snapshot!(format!("{versions:?}"), @"[90000, 16866216, 16866217, 33642432]");
}

#[test]
fn placers_of_two_eras_never_share_a_fence_or_go_back() {
    for engines_check_fences in [true, false] {
        let guards = Guards {
            reads_eras: true,
            engines_check_fences,
        };
        for seed in 0..400 {
            let violations = run(seed, guards);
            assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
        }
    }
}

/// Control: without eras, fences go back or are given out twice.
#[test]
fn without_eras_the_check_fails() {
    let guards = Guards {
        reads_eras: false,
        engines_check_fences: false,
    };
    let failed = (0..400)
        .filter(|seed| !run(*seed, guards).is_empty())
        .count();
    assert!(failed > 100, "{failed} of 400 histories");
}
