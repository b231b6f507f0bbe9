//! Simulates how a configuration change propagates to 5, 50 and 380 routers.

use std::collections::BTreeMap;
use std::fmt::Write;

use jujuberoad::ids::RouterId;
use jujuberoad::membership::RelayPlan;
use jujuberoad::membership::RouterEntry;
use jujuberoad::membership::RouterList;
use jujuberoad::peer::PEER_VERSION;
use jujuberoad::peer::PeerFrame;
use jujuberoad::peer::PeerMessage;
use smol_str::format_smolstr;

use super::quantile_ms;
use super::time_histogram;

const ZONE_COUNT: usize = 10;
const CHANGE_COUNT: usize = 400;
/// Interval at which a router pings its relay, in seconds.
const PING_INTERVAL_S: f64 = 0.5;
/// Maximum random delay before a router reads a changed record, in seconds.
const MAX_READ_JITTER_S: f64 = 0.5;
/// Duration of one long-poll watch request, in seconds.
const WATCH_DURATION_S: f64 = 0.7;
/// Size of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// Returns a table of the time until a change is in force, the ping traffic and the load
/// on the store.
pub fn propagation_bench(seed: u64) -> String {
    let mut text = String::from(
        "routers  relays  in force p95 ms  all ms  pings B/s/node  relay B/s  store calls/s  waiting  reads a change\n",
    );
    for routers in [5, 50, 380] {
        let _ = writeln!(text, "{routers:>7}  {}", simulate(routers, seed));
    }
    text
}

fn simulate(routers: usize, seed: u64) -> String {
    let list = router_list(routers);
    let plan = RelayPlan::new(&list);
    let zones = routers.min(ZONE_COUNT);
    let relays: usize = (0..zones)
        .map(|zone| plan.relays(&format!("z{zone}")).len())
        .sum();
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut delays, mut max_delay_s) = (time_histogram(), 0.0_f64);
    for _ in 0..CHANGE_COUNT {
        let mut slowest_s = 0.0_f64;
        // Relays learn of the change from their watch: a network round trip plus the
        // response time of the store.
        let relay_learned_s: Vec<f64> = (0..zones).map(|_| 0.005 + 0.004 * random.f64()).collect();
        for (index, _) in list.routers.keys().enumerate() {
            let is_relay = index < relays;
            let learned_s = if is_relay {
                relay_learned_s[index % zones]
            } else {
                // Time to the next ping after the relay knows the change, the reply
                // (2 ms), the random delay that staggers reads, and the read (6 ms).
                let ping = PING_INTERVAL_S * random.f64();
                relay_learned_s[index % zones]
                    + ping
                    + 0.002
                    + MAX_READ_JITTER_S * random.f64()
                    + 0.006
            };
            delays.saturating_record((learned_s * 1e6) as u64);
            slowest_s = slowest_s.max(learned_s);
        }
        max_delay_s = max_delay_s.max(slowest_s);
    }
    let (ping, pong) = ping_bytes();
    let exchange_bytes = (ping + pong + 2 * DATAGRAM_HEADER_BYTES) as f64;
    let ordinary_routers = (routers - relays) as f64;
    let watched_keys = (ZONE_COUNT + 2) as f64;
    let watches = relays as f64 * watched_keys;
    format!(
        "{relays:>6}  {:>15.0}  {:>6.0}  {:>14.0}  {:>9.0}  {:>13.1}  {:>7.0}  {:>14.0}",
        quantile_ms(&delays, 0.95),
        max_delay_s * 1_000.0,
        if routers > relays {
            exchange_bytes / PING_INTERVAL_S
        } else {
            0.0
        },
        exchange_bytes / PING_INTERVAL_S * ordinary_routers / relays as f64,
        watches / WATCH_DURATION_S,
        watches,
        ordinary_routers
    )
}

/// Returns the encoded sizes of a ping to a relay and of its reply when nothing has
/// changed.
fn ping_bytes() -> (usize, usize) {
    let ping = frame_bytes(PeerMessage::Ping { digest: u64::MAX });
    let pong = frame_bytes(PeerMessage::PongSame {
        age_ms: Some(700),
        reaches_store: true,
    });
    (ping, pong)
}

/// Returns the payload size of a datagram that carries `message`.
pub(super) fn frame_bytes(message: PeerMessage) -> usize {
    let sender: RouterId = "router-region-1-380".into();
    let frame = PeerFrame {
        version: PEER_VERSION,
        sender,
        exchange: u64::MAX,
        message,
    };
    postcard::to_stdvec(&frame).map_or(0, |bytes| bytes.len())
}

/// Returns a list of `count` routers distributed over ten zones.
pub(super) fn router_list(count: usize) -> RouterList {
    let mut routers = BTreeMap::new();
    for index in 0..count {
        let router = format_smolstr!("router-{index:03}");
        let entry = RouterEntry {
            router: router.clone(),
            incarnation: index as u64,
            zone: format_smolstr!("z{}", index % ZONE_COUNT),
            peer: ([10, 0, (index / 250) as u8, (index % 250) as u8], 9_000).into(),
            http: ([10, 0, (index / 250) as u8, (index % 250) as u8], 8_000).into(),
        };
        routers.insert(router, entry);
    }
    RouterList {
        epoch: 1,
        nonce: 1,
        routers,
    }
}
