//! A stand-in for a model worker: it takes orders, joins groups and reports its state. It is sent
//! no requests.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;
use crate::store::Store;
use crate::worker::HEARTBEAT_MS;

/// Time from an `open` to the start of service.
const FORM_TIME: Duration = Duration::from_millis(300);

#[derive(Clone)]
struct Group {
    name: String,
    epoch: u64,
    rank: u64,
    model: String,
    members: Vec<String>,
    state: &'static str,
    /// When the next state is reached, and which one that is.
    next: Option<(Instant, &'static str)>,
}

struct State {
    group: Option<Group>,
    /// Number of orders that have begun something.
    orders: u64,
    fence: u64,
    epoch: u64,
    writes: u64,
}

pub struct Engine {
    pub id: String,
    service: String,
    zone: String,
    domain: String,
    staged: String,
    born: u64,
    join_time: Duration,
    pub address: SocketAddr,
    state: Mutex<State>,
}

impl Engine {
    /// Starts an engine whose host holds the weights of `staged`; a join takes `join_time`.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        staged: &str,
        join_time: Duration,
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            domain: format!("domain-{zone}"),
            staged: staged.to_owned(),
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |t| t.as_millis() as u64),
            join_time,
            address: listener.local_addr().expect("its address"),
            state: Mutex::new(State {
                group: None,
                orders: 0,
                fence: 0,
                epoch: 0,
                writes: 0,
            }),
        });
        let (server, home) = (Arc::clone(&engine), Arc::clone(store));
        http::serve(listener, move |message, stream| {
            let answer = server.answer(message, &home);
            stream.write_all(&answer).is_ok()
        });
        engine.write(store);
        let (beating, store) = (Arc::clone(&engine), Arc::clone(store));
        std::thread::spawn(move || {
            let mut beat_at = Instant::now() + Duration::from_millis(HEARTBEAT_MS);
            loop {
                std::thread::sleep(Duration::from_millis(20));
                if beating.advance() || Instant::now() >= beat_at {
                    beat_at = Instant::now() + Duration::from_millis(HEARTBEAT_MS);
                    beating.write(&store);
                }
            }
        });
        engine
    }

    fn write(&self, store: &Store) {
        let entry = {
            let mut state = self.state.lock().unwrap();
            state.writes += 1;
            self.entry(&state)
        };
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Reaches the next state if it is due; returns whether anything changed.
    fn advance(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(group) = &mut state.group else {
            return false;
        };
        match group.next {
            Some((at, next)) if Instant::now() >= at => {
                group.state = next;
                group.next = None;
                true
            }
            _ => false,
        }
    }

    fn group_fields(state: &State) -> (Json, Json) {
        let Some(group) = &state.group else {
            return (Json::Null, Json::List(Vec::new()));
        };
        let shown = object(&[
            ("name", text(&group.name)),
            ("epoch", number(group.epoch)),
            ("rank", number(group.rank)),
            ("state", text(group.state)),
        ]);
        let model = object(&[
            ("name", text(&group.model)),
            ("version", number(1)),
            ("adapters", Json::List(Vec::new())),
        ]);
        let models = if group.state == "joining" {
            Vec::new()
        } else {
            vec![model]
        };
        (shown, Json::List(models))
    }

    fn entry(&self, state: &State) -> Json {
        let (group, models) = Self::group_fields(state);
        object(&[
            ("service", text(&self.service)),
            ("address", text(&self.address.to_string())),
            ("zone", text(&self.zone)),
            ("domain", text(&self.domain)),
            ("version", text("1")),
            ("slots", number(17)),
            ("state", text("ready")),
            ("coldRemainingMs", number(0)),
            ("born", number(self.born)),
            ("staged", Json::List(vec![text(&self.staged)])),
            ("models", models),
            ("group", group),
            ("stage", text("unified")),
            ("sequence", number(state.writes)),
        ])
    }

    fn report(&self) -> Json {
        let state = self.state.lock().unwrap();
        let (group, models) = Self::group_fields(&state);
        object(&[
            ("stage", text("unified")),
            ("models", models),
            ("group", group),
            ("domain", text(&self.domain)),
            ("staged", Json::List(vec![text(&self.staged)])),
            ("busy", Json::Bool(false)),
            ("sequence", number(state.orders)),
            ("born", number(self.born)),
            ("waiting", number(0)),
            ("running", number(0)),
            ("kvUsed", number(0)),
            ("kvTotal", number(1_860_000)),
            ("handles", number(0)),
            ("pace", number(1)),
        ])
    }

    fn answer(&self, message: &http::Message, store: &Store) -> Vec<u8> {
        let json = [("Content-Type", "application/json")];
        if message.path() == "/-/report" {
            return http::response(200, &json, self.report().to_string().as_bytes());
        }
        let expected = message.header("X-Jujuberoad-Expect-Instance");
        if expected.is_some_and(|expected| expected != self.id) || message.path() != "/-/order" {
            return http::response(
                421,
                &[("At-Server", &self.id), ("X-Jujuberoad-Not-Executed", "1")],
                b"",
            );
        }
        let order = Json::parse(&String::from_utf8_lossy(&message.body)).unwrap_or(Json::Null);
        let status = self.carry_out(&order);
        if status == 202 {
            self.write(store);
        }
        http::response(status, &json, b"{}")
    }

    fn carry_out(&self, order: &Json) -> u16 {
        let mut state = self.state.lock().unwrap();
        let fence = order.get("fencingToken").number();
        if fence < state.fence {
            return 412;
        }
        state.fence = fence;
        let expected = order.get("precondition");
        if *expected != Json::Null && expected.number() != state.orders {
            return 409;
        }
        let (name, epoch) = (
            order.get("group").text().to_owned(),
            order.get("epoch").number(),
        );
        let now = Instant::now();
        let is_own = state
            .group
            .as_ref()
            .is_some_and(|g| g.name == name && g.epoch == epoch);
        match order.get("op").text() {
            "join" => {
                let members: Vec<String> = order
                    .get("members")
                    .list()
                    .iter()
                    .map(|id| id.text().to_owned())
                    .collect();
                let has_others = state.group.as_ref().is_some_and(|g| g.members != members);
                if epoch < state.epoch || (is_own && has_others) {
                    return 412;
                }
                if is_own {
                    return 200;
                }
                let rank = members.iter().position(|id| *id == self.id).unwrap_or(0) as u64;
                state.epoch = epoch;
                state.orders += 1;
                state.group = Some(Group {
                    name,
                    epoch,
                    rank,
                    model: order.get("model").text().to_owned(),
                    members,
                    state: "joining",
                    next: Some((now + self.join_time, "ready")),
                });
                202
            }
            "open" if is_own => {
                let group = state.group.as_mut().unwrap();
                match group.state {
                    "open" => 200,
                    "ready" => {
                        group.next = Some((now + FORM_TIME, "open"));
                        state.orders += 1;
                        202
                    }
                    _ => 409,
                }
            }
            "close" if is_own => {
                state.group.as_mut().unwrap().state = "ready";
                state.orders += 1;
                202
            }
            "leave" if is_own => {
                state.group = None;
                state.orders += 1;
                202
            }
            "leave" => 200,
            "stage" => 200,
            _ => 409,
        }
    }
}
