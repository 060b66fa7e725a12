//! Whether this daemon reaches the backend servers of a pool at all.
//!
//! For hosts that lose their links to backend servers while callers and peers still reach them. A
//! failed connection alone does not tell a server that has crashed from a link that is cut, so others
//! of the pool are tried at once. New connections are the only evidence: open ones may outlive a
//! partition, and a server that is busy or silent still accepts.
//!
//! Connections that hang may also tell of this daemon: it gets the callers of many others, its
//! processor or its own link is used up, and nothing arrives in time. Then peers would be of no help.
//! So a peer must accept a connection in time before silence counts, the *control*.

use std::time::{Duration, Instant};

use hyssop_document::{
    collections::{Map, Set},
    name::{Backend, Pool},
};

use super::affinity;

/// The number of servers that must have failed before a pool counts as lost, if it has so many. With
/// half of a pool crashed, one survey in a hundred would meet crashed servers only.
const MIN_FAILED_SERVERS: usize = 6;
/// The minimum number of servers in a survey, whatever has failed before it.
const MIN_SURVEY_SERVERS: usize = 3;
/// The minimum time from a connection that was opened to a survey. Bounds the connections that a crashed
/// server costs.
const SURVEY_INTERVAL: Duration = Duration::from_millis(500);
/// How long a failed connection counts. Longer than one that hangs and the survey after it.
const FAILURE_TTL: Duration = Duration::from_secs(2);
/// How often a lost pool is tried again, and with how many connections.
const RETURN_INTERVAL: Duration = Duration::from_millis(250);
const RETURN_SERVERS: usize = 2;
/// The minimum time between controls.
const CONTROL_INTERVAL: Duration = Duration::from_millis(500);

/// What an attempt to open a connection tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server accepted it.
    Opened,
    /// The attempt was refused.
    Refused,
    /// There was no response in time.
    Silent,
    /// Nothing was tried.
    Untried,
}

/// A change of what the daemon believes about a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The pool.
    pub pool: Pool,
    /// Whether the pool is within reach now.
    pub reached: bool,
    /// The number of servers to which the last connection failed.
    pub failed: usize,
    /// The number of servers of the pool.
    pub servers: usize,
    /// How long the pool was out of reach, if it is back.
    pub lost_for: Duration,
}

/// The servers of a pool, in any order, each with its hash.
pub(super) type Servers<'a> = &'a [(&'a Backend, u32)];

#[derive(Debug, Default)]
struct State {
    /// The servers to which a connection failed since one was opened, with the last time and whether
    /// it was refused.
    failed: Map<Backend, (Instant, bool)>,
    /// The servers that are being tried.
    probing: Set<Backend>,
    /// Whether a survey has begun since a connection was opened.
    surveyed: bool,
    /// Whether a survey is due although no server has failed: another pool is lost, or peers can't
    /// reach this one.
    in_doubt: bool,
    last_opened: Option<Instant>,
    lost_since: Option<Instant>,
    /// When the next connections to a lost pool are due.
    retry_at: Option<Instant>,
}

impl State {
    /// Chooses servers that have not failed and are not being tried.
    fn choose(&mut self, servers: Servers<'_>, count: usize, draw: u64) -> Vec<Backend> {
        let is_lost = self.lost_since.is_some();
        let is_open = |server: &Backend| {
            !self.probing.contains(server) && (is_lost || !self.failed.contains_key(server))
        };
        let mut open: Vec<_> = servers.iter().filter(|(server, _)| is_open(server)).collect();
        open.sort_unstable_by_key(|(_, hash)| affinity::weight(*hash, draw));
        let chosen: Vec<Backend> =
            open.into_iter().take(count).map(|(server, _)| (*server).clone()).collect();
        self.probing.extend(chosen.iter().cloned());
        chosen
    }

    /// Whether enough servers have failed, a sample of the others included.
    fn is_conclusive(&self, servers: usize) -> bool {
        let all = self.failed.len() >= servers;
        self.probing.is_empty()
            && (all || self.surveyed && self.failed.len() >= MIN_FAILED_SERVERS.min(servers))
    }

    /// Whether the failures leave no doubt about this daemon's own links.
    fn is_refused(&self) -> bool {
        let refused = self.failed.values().filter(|(_, refused)| *refused).count();
        refused * 2 > self.failed.len()
    }

    /// Forgets failures that are too old. The next one begins a survey of its own.
    fn forget_failures(&mut self, now: Instant) {
        self.failed.retain(|_, (at, _)| now.duration_since(*at) < FAILURE_TTL);
        if self.failed.is_empty() {
            self.surveyed = false;
        }
    }

    fn lose(&mut self, pool: &Pool, servers: usize, now: Instant) -> Change {
        self.lost_since = Some(now);
        self.retry_at = Some(now + RETURN_INTERVAL);
        let failed = self.failed.len();
        Change { pool: pool.clone(), reached: false, failed, servers, lost_for: Duration::ZERO }
    }
}

/// The belief of one daemon about all pools.
#[derive(Debug, Default)]
pub(super) struct Reach {
    pools: Map<Pool, State>,
    /// Counted to draw different servers each time.
    draws: u64,
    /// The pools that are lost if a peer accepts a connection, with the number of their servers.
    undecided: Map<Pool, usize>,
    /// When the next control may begin.
    control_at: Option<Instant>,
}

impl Reach {
    /// Whether the daemon reaches no server of the pool.
    pub(super) fn is_lost(&self, pool: &Pool) -> bool {
        self.pools.get(pool).is_some_and(|state| state.lost_since.is_some())
    }

    /// The pools of which the daemon reaches no server.
    pub(super) fn lost(&self) -> impl Iterator<Item = &Pool> {
        let lost = self.pools.iter().filter(|(_, state)| state.lost_since.is_some());
        lost.map(|(pool, _)| pool)
    }

    /// The pools that are lost, or may be.
    pub(super) fn pools_in_doubt(&self) -> Vec<Pool> {
        let in_doubt = |state: &State| {
            state.lost_since.is_some() || state.in_doubt || !state.failed.is_empty()
        };
        let pools = self.pools.iter().filter(|(_, state)| in_doubt(state));
        pools.map(|(pool, _)| pool.clone()).collect()
    }

    /// Has a pool surveyed for another reason than a failed connection.
    pub(super) fn doubt(&mut self, pool: &Pool) {
        self.pools.entry(pool.clone()).or_default().in_doubt = true;
    }

    /// Forgets pools without servers.
    pub(super) fn retain(&mut self, has_servers: impl Fn(&Pool) -> bool) {
        self.pools.retain(|pool, _| has_servers(pool));
    }

    /// Records how an attempt to connect to a server of a pool with `servers` servers ended.
    pub(super) fn record(
        &mut self,
        (pool, server): (&Pool, &Backend),
        outcome: Outcome,
        servers: usize,
        now: Instant,
    ) -> Option<Change> {
        let state = self.pools.entry(pool.clone()).or_default();
        state.probing.remove(server);
        match outcome {
            Outcome::Untried => {
                state.surveyed = false;
                return None;
            }
            Outcome::Opened => {
                let failed = state.failed.len();
                state.failed.clear();
                (state.surveyed, state.in_doubt) = (false, false);
                state.last_opened = Some(now);
                let lost_for = now.duration_since(state.lost_since.take()?);
                return Some(Change {
                    pool: pool.clone(),
                    reached: true,
                    failed,
                    servers,
                    lost_for,
                });
            }
            Outcome::Refused | Outcome::Silent => {}
        }
        state.failed.insert(server.clone(), (now, outcome == Outcome::Refused));
        state.forget_failures(now);
        if state.lost_since.is_some() || !state.is_conclusive(servers) {
            return None;
        }
        if !state.is_refused() {
            self.undecided.insert(pool.clone(), servers);
            return None;
        }
        Some(state.lose(pool, servers, now))
    }

    /// Whether a connection to a peer is to be opened now, to tell whether silence is this daemon's own
    /// fault. How it ends must be reported with [`Self::record_control`].
    pub(super) fn begin_control(&mut self, now: Instant) -> bool {
        let pools = &mut self.pools;
        self.undecided.retain(|pool, servers| {
            let Some(state) = pools.get_mut(pool) else { return false };
            state.forget_failures(now);
            state.lost_since.is_none() && state.is_conclusive(*servers)
        });
        let is_due = !self.undecided.is_empty() && self.control_at.is_none_or(|at| now >= at);
        if is_due {
            self.control_at = Some(now + CONTROL_INTERVAL);
        }
        is_due
    }

    /// Records how a connection to a peer ended.
    pub(super) fn record_control(&mut self, outcome: Outcome, now: Instant) -> Vec<Change> {
        if outcome != Outcome::Opened {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for (pool, servers) in std::mem::take(&mut self.undecided) {
            let Some(state) = self.pools.get_mut(&pool) else { continue };
            state.forget_failures(now);
            // A connection may have been opened meanwhile.
            if state.lost_since.is_none() && state.is_conclusive(servers) {
                changes.push(state.lose(&pool, servers, now));
            }
        }
        changes
    }

    /// The servers of a pool that are to be tried now, to find out whether it is within reach. How
    /// each attempt ends must be reported with [`Self::record`].
    pub(super) fn begin_probes(
        &mut self,
        pool: &Pool,
        servers: Servers<'_>,
        now: Instant,
    ) -> Vec<Backend> {
        let Some(state) = self.pools.get_mut(pool) else { return Vec::new() };
        self.draws += 1;
        // Nobody reports the end of an attempt at a server that was removed meanwhile.
        state.probing.retain(|server| servers.iter().any(|(other, _)| *other == server));
        if state.lost_since.is_some() {
            if state.retry_at.is_some_and(|at| now < at) {
                return Vec::new();
            }
            state.retry_at = Some(now + RETURN_INTERVAL);
            return state.choose(servers, RETURN_SERVERS, self.draws);
        }
        state.forget_failures(now);
        let opened = state.last_opened.is_some_and(|at| now.duration_since(at) < SURVEY_INTERVAL);
        let is_due = (state.in_doubt || !state.failed.is_empty()) && !opened;
        if !is_due || state.surveyed || !state.probing.is_empty() {
            return Vec::new();
        }
        (state.surveyed, state.in_doubt) = (true, false);
        let missing = MIN_FAILED_SERVERS.saturating_sub(state.failed.len());
        state.choose(servers, missing.max(MIN_SURVEY_SERVERS), self.draws)
    }
}
