//! Limits on the rate of requests that endpoints have named.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::LimitStatement;
use crate::ids::EndpointId;
use crate::ids::RequestRate;

/// Time after which a limit, or its end, that neither the endpoint nor a peer has repeated is
/// forgotten. The end is remembered because older statements that arrive later, over a slow
/// connection, must not bring the limit back.
const UNHEARD_RETENTION: Duration = Duration::from_secs(30);

/// The newest statement of each endpoint that has named a limit.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    known: HashMap<EndpointId, KnownLimit>,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    statement: LimitStatement,
    /// When the endpoint or a peer last said the same.
    heard_at: Instant,
}

impl LimitTable {
    /// Records what a response says, or a peer's notice of one; returns whether the limit of the
    /// endpoint has changed.
    ///
    /// Responses on different connections overtake each other. Of two statements whose order
    /// is unknown, the stricter one holds.
    pub fn observe(
        &mut self,
        endpoint: &EndpointId,
        statement: LimitStatement,
        now: Instant,
    ) -> bool {
        let heard = KnownLimit {
            statement,
            heard_at: now,
        };
        let Some(known) = self.known.get_mut(endpoint) else {
            if statement.limit.is_some() {
                self.known.insert(endpoint.clone(), heard);
            }
            return statement.limit.is_some();
        };
        if statement.limit == known.statement.limit {
            known.heard_at = now;
            known.statement.extend(&statement);
            return false;
        }
        let is_older = known.statement.is_newer(&statement);
        let holds = statement.is_newer(&known.statement)
            || (!is_older && statement.is_stricter(&known.statement));
        if holds {
            *known = heard;
        }
        holds
    }

    /// Returns the limit of an endpoint, if it has one.
    pub fn limit(&self, endpoint: &str) -> Option<RequestRate> {
        self.known.get(endpoint)?.statement.limit
    }

    /// Returns the endpoints with a limit and the statements that named it.
    pub fn named(&self) -> impl Iterator<Item = (&EndpointId, &LimitStatement)> {
        let known = self.known.iter();
        let statements = known.map(|(endpoint, known)| (endpoint, &known.statement));
        statements.filter(|(_, statement)| statement.limit.is_some())
    }

    /// Returns the number of endpoints with a limit.
    pub fn len(&self) -> usize {
        self.named().count()
    }

    /// Returns whether no endpoint has a limit.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes endpoints that are gone and what was not repeated for a while.
    pub fn prune(&mut self, now: Instant, is_registered: impl Fn(&EndpointId) -> bool) {
        self.known.retain(|endpoint, known| {
            now < known.heard_at + UNHEARD_RETENTION && is_registered(endpoint)
        });
    }
}
