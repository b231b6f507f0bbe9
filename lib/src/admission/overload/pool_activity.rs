//! Requests of one router by pool, priority and team.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::PoolKey;
use crate::ids::TeamId;
use crate::peer::PoolWaiting;

/// Time over which ended requests are counted.
const FINISHED_SPAN: Duration = Duration::from_millis(1_000);
/// Time within which ended requests are counted together.
const BUCKET_SPAN: Duration = Duration::from_millis(50);

/// Requests that are counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolClass {
    /// Pool that serves them.
    pub pool: PoolKey,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Team of the callers, if they have one.
    pub team: Option<TeamId>,
}

/// Counts of waiting, running and ended requests.
#[derive(Clone, Debug, Default)]
pub struct PoolActivity {
    classes: BTreeMap<PoolClass, ClassCount>,
}

#[derive(Clone, Debug, Default)]
struct ClassCount {
    waiting: u32,
    running: u32,
    /// Ended requests, by the time at which their bucket expires.
    finished: VecDeque<(Instant, u32)>,
}

impl PoolActivity {
    /// Counts a request that begins to wait and can still be on time.
    pub fn begin_wait(&mut self, class: &PoolClass) {
        self.count(class).waiting += 1;
    }

    /// Counts a request that no longer waits or can no longer be on time.
    pub fn end_wait(&mut self, class: &PoolClass) {
        let count = self.count(class);
        count.waiting = count.waiting.saturating_sub(1);
    }

    /// Counts a request that has got a slot.
    pub fn begin_run(&mut self, class: &PoolClass) {
        self.count(class).running += 1;
    }

    /// Counts a request that gives back its slot.
    pub fn end_run(&mut self, class: &PoolClass, now: Instant) {
        let count = self.count(class);
        count.running = count.running.saturating_sub(1);
        let expires_at = now + FINISHED_SPAN;
        match count.finished.back_mut() {
            Some((last, ended)) if expires_at.saturating_duration_since(*last) < BUCKET_SPAN => {
                *ended += 1;
            }
            _ => count.finished.push_back((expires_at, 1)),
        }
    }

    /// Returns the counts at `now`, without those that are all zero.
    pub fn snapshot(&mut self, now: Instant) -> Vec<PoolWaiting> {
        self.classes.retain(|_, count| {
            let finished = &mut count.finished;
            while finished.front().is_some_and(|(until, _)| now >= *until) {
                finished.pop_front();
            }
            count.waiting > 0 || count.running > 0 || !finished.is_empty()
        });
        let classes = self.classes.iter();
        classes
            .map(|(class, count)| PoolWaiting {
                service: class.pool.service.clone(),
                model: class.pool.model.clone(),
                priority: class.priority,
                team: class.team.clone(),
                waiting: count.waiting,
                running: count.running,
                finished: count.finished.iter().map(|(_, ended)| ended).sum(),
            })
            .collect()
    }

    fn count(&mut self, class: &PoolClass) -> &mut ClassCount {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.clone(), ClassCount::default());
        }
        self.classes.get_mut(class).expect("a class with an entry")
    }
}
