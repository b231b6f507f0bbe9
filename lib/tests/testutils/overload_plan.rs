//! Load and faults of a run of the overload model, and how its requests end.

use std::fmt::Write;

use jujuberoad::admission::overload::PoolClass;
use jujuberoad::fleet::PoolKey;

/// Pool, priority, team, objective in milliseconds and requests per second.
pub const CLASSES: [(usize, u32, &str, u64, f64); 5] = [
    (0, 0, "urgent", 200, 60.0),
    (0, 1, "east", 300, 35.0),
    (0, 1, "west", 300, 35.0),
    (1, 1, "east", 500, 60.0),
    (1, 1, "west", 500, 60.0),
];

/// What happens to the digests of routers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Digests {
    #[default]
    Live,
    Missing,
    /// None is sent after this time.
    EndAt(u64),
    /// The routers below this index send none.
    OlderRouters(usize),
}

#[derive(Clone)]
pub struct OverloadPlan {
    /// Load factor by class, router and time.
    pub load: fn(usize, usize, u64) -> f64,
    /// Targets of each pool that are lost at 2 s.
    pub lost_targets: usize,
    /// A router that is lost at 4 s, with its callers.
    pub lost_router: Option<usize>,
    /// How often a refused caller returns, and whether it does so at once.
    pub returns: u32,
    pub at_once: bool,
    pub digests: Digests,
    pub is_ordered: bool,
}

/// Ends of requests by class.
#[derive(Default)]
pub struct OverloadEnds {
    /// On time, late, refused and lost with their router.
    pub ends: [[u32; 4]; CLASSES.len()],
}

impl OverloadEnds {
    /// Writes a line for each class and one for their sum.
    pub fn describe(&self, name: &str, table: &mut String) {
        let mut total = [0; 4];
        let mut add_line = |label: &str, [on_time, late, refused, lost]: [u32; 4]| {
            writeln!(
                table,
                "{name:7} {label:15} {on_time:5} {late:5} {refused:7} {lost:4}"
            )
            .unwrap();
        };
        for ((pool, priority, team, ..), ends) in CLASSES.iter().zip(self.ends) {
            let label = format!("{} p{priority} {team}", ["large", "small"][*pool]);
            add_line(&label, ends);
            total = std::array::from_fn(|index| total[index] + ends[index]);
        }
        add_line("all", total);
    }
}

pub fn pool_key(pool: usize) -> PoolKey {
    let model = Some(["large", "small"][pool].into());
    let service = "chat".into();
    PoolKey { service, model }
}

pub fn pool_class(class: usize) -> PoolClass {
    let (pool, priority, team, ..) = CLASSES[class];
    let team = Some(team.into());
    let pool = pool_key(pool);
    PoolClass {
        pool,
        priority,
        team,
    }
}
