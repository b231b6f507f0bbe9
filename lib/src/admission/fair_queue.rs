//! Weighted fair queueing between teams, with priority for the urgent class.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Instant;

use super::DrainRate;
use super::QueueError;
use super::QueueTicket;
use super::RequestClass;
use super::WaitQueue;
use crate::ids::TeamId;

/// Virtual time charged for one request of a team with share 1.
const REQUEST_COST: u64 = 1 << 20;
/// Lead in virtual time over the slowest team above which a team's urgent
/// requests lose their priority over long requests of other teams.
const MAX_URGENT_LEAD: u64 = 4 * REQUEST_COST;

/// Serves urgent requests before long ones, and teams in proportion to their
/// shares.
///
/// Each dequeued request advances the virtual time of its team by an amount
/// inversely proportional to the team's share. The team with the lowest virtual
/// time is served next. A team that floods the queue gets ahead of the others in
/// virtual time, and its urgent requests then lose their priority over requests
/// of other teams. A request that cannot be served before its deadline at the
/// current drain rate is rejected immediately.
#[derive(Debug, Default)]
pub struct FairQueue {
    teams: BTreeMap<TeamId, TeamQueue>,
    /// Highest virtual time at which a request was dequeued; new teams start there.
    virtual_clock: u64,
    waiting: usize,
    drain_rate: DrainRate,
}

#[derive(Debug, Default)]
struct TeamQueue {
    urgent: VecDeque<QueueTicket>,
    long: VecDeque<QueueTicket>,
    virtual_time: u64,
}

impl FairQueue {
    /// Returns the next team with urgent requests that may be served with priority.
    fn next_urgent_team(&self) -> Option<TeamId> {
        let min_virtual_time = self.teams.values().map(|team| team.virtual_time).min()?;
        let mut best: Option<(u64, &TeamId)> = None;
        for (name, team) in &self.teams {
            let is_ahead = team.virtual_time > min_virtual_time + MAX_URGENT_LEAD;
            if team.urgent.is_empty() || is_ahead {
                continue;
            }
            if best.is_none_or(|best| (team.virtual_time, name) < best) {
                best = Some((team.virtual_time, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    /// Returns the team with the lowest virtual time among those that have a
    /// request of class `lowest` or a more urgent one.
    fn next_team(&self, lowest: RequestClass) -> Option<TeamId> {
        let mut best: Option<(u64, &TeamId)> = None;
        for (name, team) in &self.teams {
            if lowest == RequestClass::Counter && team.urgent.is_empty() {
                continue;
            }
            if best.is_none_or(|best| (team.virtual_time, name) < best) {
                best = Some((team.virtual_time, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    fn pop_from(&mut self, name: &TeamId) -> Option<QueueTicket> {
        let team = self.teams.get_mut(name)?;
        let ticket = team.urgent.pop_front().or_else(|| team.long.pop_front())?;
        self.virtual_clock = self.virtual_clock.max(team.virtual_time);
        team.virtual_time += REQUEST_COST / ticket.share.max(1);
        self.waiting -= 1;
        if team.is_empty() {
            self.teams.remove(name);
        }
        Some(ticket)
    }

    /// Estimates how many requests are served before `ticket`: those of its own
    /// team, and as many of each other team as that team's share allows in the
    /// same time.
    fn count_ahead(&self, ticket: &QueueTicket) -> usize {
        let own = self
            .teams
            .get(&ticket.team)
            .map_or(0, |team| team.count(ticket.class));
        let rounds = own as u64 / ticket.share.max(1) + 1;
        let mut ahead = own;
        for (name, team) in &self.teams {
            if *name == ticket.team {
                continue;
            }
            let share = team.share();
            ahead += team.count(ticket.class).min((rounds * share) as usize);
        }
        ahead
    }

    fn remove_where(&mut self, matches: impl Fn(&QueueTicket) -> bool) -> Vec<QueueTicket> {
        let mut removed = Vec::new();
        for team in self.teams.values_mut() {
            for queue in [&mut team.urgent, &mut team.long] {
                let tickets = std::mem::take(queue);
                for ticket in tickets {
                    if matches(&ticket) {
                        removed.push(ticket);
                        continue;
                    }
                    queue.push_back(ticket);
                }
            }
        }
        self.teams.retain(|_, team| !team.is_empty());
        self.waiting -= removed.len();
        removed
    }
}

impl WaitQueue for FairQueue {
    fn push(&mut self, ticket: QueueTicket, now: Instant) -> Result<(), QueueError> {
        let team = self.teams.get(&ticket.team);
        let waiting = team.map_or(0, |team| team.count(RequestClass::Receipt)) as u64;
        let ahead = self.count_ahead(&ticket);
        if waiting >= ticket.team_limit {
            return Err(QueueError::TeamFull {
                team: ticket.team,
                limit: ticket.team_limit,
                retry_at: self.drain_rate.retry_at(ahead, now),
            });
        }
        if self
            .drain_rate
            .served_at(ahead, now)
            .is_some_and(|served_at| served_at > ticket.expires_at)
        {
            let retry_at = self.drain_rate.retry_at(ahead, now);
            return Err(QueueError::DeadlineUnreachable {
                ahead: ahead as u64,
                retry_at,
            });
        }
        let virtual_clock = self.virtual_clock;
        let team = self.teams.entry(ticket.team.clone());
        let team = team.or_insert_with(|| TeamQueue {
            virtual_time: virtual_clock,
            ..TeamQueue::default()
        });
        match ticket.class {
            RequestClass::Counter => team.urgent.push_back(ticket),
            RequestClass::Receipt => team.long.push_back(ticket),
        }
        self.waiting += 1;
        Ok(())
    }

    fn pop(&mut self, lowest: RequestClass, now: Instant) -> Option<QueueTicket> {
        let team = self.next_urgent_team().or_else(|| self.next_team(lowest))?;
        let ticket = self.pop_from(&team)?;
        let has_backlog = self.waiting > 0;
        self.drain_rate.observe(has_backlog, now);
        Some(ticket)
    }

    fn expire(&mut self, now: Instant) -> Vec<QueueTicket> {
        self.remove_where(|ticket| now >= ticket.expires_at)
    }

    fn cancel(&mut self, id: u64) -> bool {
        !self.remove_where(|ticket| ticket.id == id).is_empty()
    }

    fn len(&self) -> usize {
        self.waiting
    }
}

impl TeamQueue {
    fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.long.is_empty()
    }

    /// Returns the number of requests of class `lowest` and more urgent ones.
    fn count(&self, lowest: RequestClass) -> usize {
        match lowest {
            RequestClass::Counter => self.urgent.len(),
            RequestClass::Receipt => self.urgent.len() + self.long.len(),
        }
    }

    fn share(&self) -> u64 {
        let ticket = self.urgent.front().or_else(|| self.long.front());
        ticket.map_or(1, |ticket| ticket.share.max(1))
    }
}
