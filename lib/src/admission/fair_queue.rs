//! Deficit round robin over teams, class by class.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Instant;

use strum::IntoEnumIterator;

use super::DrainRate;
use super::QueueError;
use super::QueueTicket;
use super::RequestClass;
use super::WaitQueue;
use crate::ids::TeamId;

/// Serves the more urgent class first and, within a class, teams by their shares.
///
/// A team that floods the queue waits behind itself only. A request that could
/// not be served before its deadline at the present pace is turned away at once.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: BTreeMap<RequestClass, ClassLane>,
    waiting: BTreeMap<TeamId, u64>,
    rate: DrainRate,
}

#[derive(Debug, Default)]
struct ClassLane {
    teams: BTreeMap<TeamId, TeamLane>,
    turn: VecDeque<TeamId>,
}

#[derive(Debug, Default)]
struct TeamLane {
    tickets: VecDeque<QueueTicket>,
    deficit: u64,
}

impl FairQueue {
    /// Returns how many requests are served before a new one of this team and class.
    fn ahead_of(&self, ticket: &QueueTicket) -> usize {
        let mut ahead = 0;
        for (class, lane) in &self.lanes {
            if *class > ticket.class {
                continue;
            }
            if *class < ticket.class {
                ahead += lane.len();
                continue;
            }
            ahead += lane.ahead_of(ticket);
        }
        ahead
    }
}

impl WaitQueue for FairQueue {
    fn push(&mut self, ticket: QueueTicket, now: Instant) -> Result<(), QueueError> {
        let waiting = self.waiting.get(&ticket.team).copied().unwrap_or(0);
        let ahead = self.ahead_of(&ticket);
        if waiting >= ticket.team_limit {
            return Err(QueueError::TeamFull {
                team: ticket.team,
                limit: ticket.team_limit,
                retry_at: self.rate.retry_at(ahead, now),
            });
        }
        if self
            .rate
            .served_at(ahead, now)
            .is_some_and(|served_at| served_at > ticket.expires_at)
        {
            let retry_at = self.rate.retry_at(ahead, now);
            return Err(QueueError::TooLong {
                ahead: ahead as u64,
                retry_at,
            });
        }
        *self.waiting.entry(ticket.team.clone()).or_default() += 1;
        self.lanes.entry(ticket.class).or_default().push(ticket);
        Ok(())
    }

    fn pop(&mut self, lowest: RequestClass, now: Instant) -> Option<QueueTicket> {
        for class in RequestClass::iter().filter(|class| *class <= lowest) {
            let Some(lane) = self.lanes.get_mut(&class) else {
                continue;
            };
            let Some(ticket) = lane.pop() else { continue };
            release_team(&mut self.waiting, &ticket.team);
            let leaves_others = !self.is_empty();
            self.rate.observe(leaves_others, now);
            return Some(ticket);
        }
        None
    }

    fn expire(&mut self, now: Instant) -> Vec<QueueTicket> {
        let mut expired = Vec::new();
        for lane in self.lanes.values_mut() {
            expired.extend(lane.take_where(|ticket| now >= ticket.expires_at));
        }
        for ticket in &expired {
            release_team(&mut self.waiting, &ticket.team);
        }
        expired
    }

    fn cancel(&mut self, id: u64) -> bool {
        for lane in self.lanes.values_mut() {
            if let Some(ticket) = lane.take_where(|ticket| ticket.id == id).pop() {
                release_team(&mut self.waiting, &ticket.team);
                return true;
            }
        }
        false
    }

    fn len(&self) -> usize {
        self.lanes.values().map(ClassLane::len).sum()
    }
}

impl ClassLane {
    fn len(&self) -> usize {
        self.teams.values().map(|team| team.tickets.len()).sum()
    }

    fn push(&mut self, ticket: QueueTicket) {
        let team = self.teams.entry(ticket.team.clone()).or_default();
        if team.tickets.is_empty() {
            team.deficit = 0;
            self.turn.push_back(ticket.team.clone());
        }
        team.tickets.push_back(ticket);
    }

    fn pop(&mut self) -> Option<QueueTicket> {
        let name = self.turn.front()?.clone();
        let team = self.teams.get_mut(&name)?;
        let share = team.tickets.front().map_or(1, |ticket| ticket.share.max(1));
        if team.deficit == 0 {
            team.deficit = share;
        }
        team.deficit -= 1;
        let ticket = team.tickets.pop_front();
        if team.tickets.is_empty() || team.deficit == 0 {
            self.turn.pop_front();
        }
        if team.tickets.is_empty() {
            self.teams.remove(&name);
        } else if team.deficit == 0 {
            self.turn.push_back(name);
        }
        ticket
    }

    fn take_where(&mut self, matches: impl Fn(&QueueTicket) -> bool) -> Vec<QueueTicket> {
        let mut taken = Vec::new();
        for team in self.teams.values_mut() {
            let tickets = std::mem::take(&mut team.tickets);
            for ticket in tickets {
                if matches(&ticket) {
                    taken.push(ticket);
                    continue;
                }
                team.tickets.push_back(ticket);
            }
        }
        self.teams.retain(|_, team| !team.tickets.is_empty());
        self.turn.retain(|name| self.teams.contains_key(name));
        taken
    }

    /// Returns how many requests of this class come before a new one: those of
    /// its own team, and for each of them what the other teams' shares allow.
    fn ahead_of(&self, ticket: &QueueTicket) -> usize {
        let own = self
            .teams
            .get(&ticket.team)
            .map_or(0, |team| team.tickets.len());
        let rounds = own as u64 / ticket.share.max(1) + 1;
        let mut ahead = own;
        for (name, team) in &self.teams {
            if *name == ticket.team {
                continue;
            }
            let share = team.tickets.front().map_or(1, |other| other.share.max(1));
            ahead += team.tickets.len().min((rounds * share) as usize);
        }
        ahead
    }
}

fn release_team(waiting: &mut BTreeMap<TeamId, u64>, team: &TeamId) {
    let Some(count) = waiting.get_mut(team) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        waiting.remove(team);
    }
}
