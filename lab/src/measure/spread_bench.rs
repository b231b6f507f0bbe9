//! Spread of a changed configuration to 5, 50 and 380 routers.

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

const ZONES: usize = 10;
const CHANGES: usize = 400;
/// Time between two questions of a router to its relays, in seconds.
const PING_S: f64 = 0.5;
/// Longest wait before a changed record is read, in seconds.
const JITTER_S: f64 = 0.5;
/// Longest time that one watch waits, in seconds.
const WATCH_S: f64 = 0.7;
/// Bytes of the UDP and IP headers of a datagram.
const DATAGRAM_HEADERS: usize = 28;

/// Prints time to in force, bytes a node and calls of the store.
pub fn spread_bench(seed: u64) -> String {
    let mut text = String::from(
        "routers  relays  in force p95 ms  all ms  pings B/s/node  relay B/s  store calls/s  waiting  reads a change\n",
    );
    for routers in [5, 50, 380] {
        let _ = writeln!(text, "{routers:>7}  {}", run(routers, seed));
    }
    text
}

fn run(routers: usize, seed: u64) -> String {
    let list = router_list(routers);
    let plan = RelayPlan::new(&list);
    let zones = routers.min(ZONES);
    let relays: usize = (0..zones)
        .map(|zone| plan.relays(&format!("z{zone}")).len())
        .sum();
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut each, mut all) = (time_histogram(), 0.0_f64);
    for _ in 0..CHANGES {
        let mut last = 0.0_f64;
        // Relays learn by their watch: two network ways and the store's time.
        let relay_s: Vec<f64> = (0..zones).map(|_| 0.005 + 0.004 * random.f64()).collect();
        for (index, _) in list.routers.keys().enumerate() {
            let is_relay = index < relays;
            let learned = if is_relay {
                relay_s[index % zones]
            } else {
                // The next ping after the relay has learned, a way back, the
                // wait that spreads reads, and the read.
                let ping = PING_S * random.f64();
                relay_s[index % zones] + ping + 0.002 + JITTER_S * random.f64() + 0.006
            };
            each.saturating_record((learned * 1e6) as u64);
            last = last.max(learned);
        }
        all = all.max(last);
    }
    let (ping, pong) = ping_bytes();
    let exchange = (ping + pong + 2 * DATAGRAM_HEADERS) as f64;
    let asked = (routers - relays) as f64;
    let keys = (ZONES + 2) as f64;
    let watches = relays as f64 * keys;
    format!(
        "{relays:>6}  {:>15.0}  {:>6.0}  {:>14.0}  {:>9.0}  {:>13.1}  {:>7.0}  {:>14.0}",
        quantile_ms(&each, 0.95),
        all * 1_000.0,
        if routers > relays {
            exchange / PING_S
        } else {
            0.0
        },
        exchange / PING_S * asked / relays as f64,
        watches / WATCH_S,
        watches,
        asked
    )
}

/// Returns the bytes of a question to a relay and of its answer while nothing changes.
fn ping_bytes() -> (usize, usize) {
    let ping = frame_bytes(PeerMessage::Ping { digest: u64::MAX });
    let pong = frame_bytes(PeerMessage::PongSame {
        age_ms: Some(700),
        reaches_store: true,
    });
    (ping, pong)
}

/// Returns the bytes of a datagram that carries `message`, without its headers.
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

/// Returns a list of `count` routers spread over ten zones.
pub(super) fn router_list(count: usize) -> RouterList {
    let mut routers = BTreeMap::new();
    for index in 0..count {
        let router = format_smolstr!("router-{index:03}");
        let entry = RouterEntry {
            router: router.clone(),
            incarnation: index as u64,
            zone: format_smolstr!("z{}", index % ZONES),
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
