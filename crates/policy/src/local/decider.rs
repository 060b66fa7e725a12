//! Decides for one daemon: what it knows of backend servers, and its shares.

mod placement;

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use hyssop_document::{
    collections::Map,
    name::{Backend, Pool, Zone},
};

use super::{
    cold::Bound as ColdBound,
    demand::Demand,
    others::Others,
    repeats::{Bound as RepeatBound, Repeats},
    split::{self, Split},
    standing::{Load, Run, Server, Standing, Ticket},
};

/// How long one that said that it is full gets nothing.
const FULL_AVOIDED: Duration = Duration::from_millis(60);
/// The weight of a new measurement in a pool's slowness: a daemon makes some in each second.
const POOL_GAIN: f64 = 0.05;
/// The bounds on one measurement, so that a single one does not decide.
const FASTEST: f64 = 0.3;
const SLOWEST: f64 = 10.0;
/// The shortest time that a measurement is compared with.
const LEAST_PREDICTED: Duration = Duration::from_millis(5);
/// A first event that is later than this multiple of the predicted time and this time on top may never
/// come. The same as for requests that may run again elsewhere.
pub const OVERDUE: (u32, Duration) = (3, Duration::from_millis(500));
/// The least time to come back that callers are told.
const RETRY_LEAST: Duration = Duration::from_millis(150);

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// The backend server.
    pub server: Backend,
    /// The predicted time to the first event.
    pub predicted: Duration,
    /// The prompt tokens that will have to be read there.
    pub unread: u32,
    /// What all daemons have there, by what is known.
    pub load: Load,
    /// How many engines are set aside for requests that generate.
    pub aside: usize,
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Send it there.
    Send(Place),
    /// Refuse it: it has not run.
    Refuse {
        /// Why.
        reason: Reason,
        /// When the caller should come back.
        retry_after: Duration,
        /// The predicted time to the first event at the best place, if there was a place.
        predicted: Option<Duration>,
    },
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Reason {
    /// No backend server of the pool is in service.
    #[display("no_server")]
    NoServer,
    /// All are cold, and this daemon's share of what they bear is used.
    #[display("cold")]
    Cold,
    /// All connections of this daemon to the backend servers are in use.
    #[display("connections")]
    Connections,
    /// The answer would come after the caller has given up.
    #[display("overload")]
    Overload,
    /// The budget for repeats is used.
    #[display("repeats")]
    Repeats,
}

/// How a request at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum End {
    /// Whole.
    #[display("complete")]
    Complete,
    /// Refused by the backend server, which has not run it.
    #[display("rejected")]
    Rejected,
    /// The connection or the answer broke.
    #[display("broken")]
    Broken,
    /// The backend server could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// Nothing was sent, for a reason that says nothing about the backend server.
    #[display("unsent")]
    Unsent,
    /// The caller left, or the time was over.
    #[display("abandoned")]
    Abandoned,
}

/// Settings of a decider.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The daemon's zone.
    pub zone: Zone,
    /// The hash of the daemon's name.
    pub own: u32,
    /// The bound on cold backend servers.
    pub cold: ColdBound,
    /// The bound on repeats.
    pub repeats: RepeatBound,
}

/// Decides for one daemon.
#[derive(Debug)]
pub struct Decider {
    settings: Settings,
    members: Vec<u32>,
    /// Whether `members` are all that may use a share. Until then this daemon uses none.
    settled: bool,
    standings: Map<Backend, Standing>,
    by_hash: Map<u32, Backend>,
    others: Others,
    repeats: Map<Pool, Repeats>,
    splits: Map<Pool, Split>,
    /// How many times longer than predicted the backend servers of a pool take.
    usual: Map<Pool, f64>,
    next: u64,
    refusals: u64,
}

impl Decider {
    /// A decider that knows no backend server.
    pub fn new(settings: Settings) -> Self {
        let members = vec![settings.own];
        Self {
            settings,
            members,
            settled: false,
            standings: Map::default(),
            by_hash: Map::default(),
            others: Others::default(),
            repeats: Map::default(),
            splits: Map::default(),
            usual: Map::default(),
            next: 0,
            refusals: 0,
        }
    }

    /// Replaces the bounds, as when the settings change.
    pub fn set_bounds(&mut self, cold: ColdBound, repeats: RepeatBound) {
        if self.settings.repeats != repeats {
            self.repeats.clear();
        }
        self.settings.cold = cold;
        self.settings.repeats = repeats;
    }

    /// Sets the hashes of the daemons that may use a share, this one included, and whether these are
    /// all. A daemon that does not know among how many it shares uses no share.
    pub fn set_members(&mut self, members: Vec<u32>, settled: bool) {
        self.members = members;
        self.settled = settled;
    }

    /// Replaces the backend servers that may get requests. What is known of those that stay is kept.
    pub fn configure(&mut self, servers: Vec<Server>) {
        let mut known = std::mem::take(&mut self.standings);
        self.by_hash.clear();
        for server in servers {
            let name = server.name.clone();
            self.by_hash.insert(server.hash, name.clone());
            let standing = match known.remove(&name) {
                Some(mut standing) if standing.server.incarnation == server.incarnation => {
                    standing.server = server;
                    standing
                }
                _ => Standing::new(server),
            };
            self.standings.insert(name, standing);
        }
    }

    /// Takes until when a backend server is cold by what it publishes.
    pub fn cold(&mut self, server: &Backend, until: Instant) {
        if let Some(standing) = self.standings.get_mut(server) {
            standing.cold_until = Some(until);
        }
    }

    /// Takes all that a peer has at backend servers, and how long these are cold by its knowledge.
    pub fn peer(&mut self, peer: IpAddr, told: &[(u32, Load, Duration)], now: Instant) {
        for &(hash, _, cold) in told.iter().filter(|(.., cold)| !cold.is_zero()) {
            let Some(name) = self.by_hash.get(&hash) else { continue };
            let Some(standing) = self.standings.get_mut(name) else { continue };
            standing.told_cold_until = standing.told_cold_until.max(Some(now + cold));
        }
        self.others.hear(peer, told.iter().map(|&(hash, load, _)| (hash, load)).collect(), now);
    }

    /// Forgets what peers told that are not heard of any more.
    pub fn expire(&mut self, now: Instant) {
        self.others.expire(now);
    }

    /// What this daemon has at each backend server, and how long that is cold by its own knowledge.
    /// What peers told is not told on: each hop would make it a little longer.
    pub fn own_loads(&mut self, now: Instant) -> Vec<(u32, Load, Duration)> {
        let loads = self.standings.values_mut().map(|standing| {
            let cold =
                standing.cold_until.map_or(Duration::ZERO, |u| u.saturating_duration_since(now));
            (standing.server.hash, standing.own(now), cold)
        });
        loads.filter(|(_, load, cold)| *load != Load::default() || !cold.is_zero()).collect()
    }

    /// The connections that this daemon may have to a backend server.
    pub fn connections(&self, server: &Backend) -> usize {
        let most = self.standings.get(server).map_or(0, |s| s.server.max_connections);
        share_of_connections(most, self.members.len())
    }

    fn may_repeat(&mut self, pool: &Pool, now: Instant) -> bool {
        let sharers = self.settled.then_some(self.members.len());
        self.repeats_of(pool).has(sharers, now)
    }

    fn repeats_of(&mut self, pool: &Pool) -> &mut Repeats {
        let bound = self.settings.repeats;
        self.repeats.entry(pool.clone()).or_insert_with(|| Repeats::new(bound))
    }

    /// Takes that a request is sent.
    pub fn sent(&mut self, place: &Place, demand: &Demand, now: Instant) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        let repeats = self.repeats_of(&demand.pool);
        if demand.repeat {
            repeats.sent_again(now);
        } else {
            repeats.sent_first(now);
        }
        let usual = self.usual_slowness(&demand.pool);
        if let Some(standing) = self.standings.get_mut(&place.server) {
            let run = Run {
                sent: now,
                overdue_at: now + place.predicted * OVERDUE.0 + OVERDUE.1,
                usual: place.predicted.div_f64(standing.slowness(usual)),
                unread: place.unread,
                held: demand.held_tokens(),
                begun: false,
                generates: split::generates(demand),
            };
            standing.runs.insert(ticket, run);
            standing.sends.add(now);
            standing.remember_parts(demand, now);
        }
        ticket
    }

    /// Takes that the first event of a request came.
    pub fn began(&mut self, at: &Backend, ticket: Ticket, now: Instant) {
        let Some(standing) = self.standings.get_mut(at) else { return };
        let Some(run) = standing.runs.get_mut(&ticket) else { return };
        if run.begun {
            return;
        }
        run.begun = true;
        let (usual, seen) = (run.usual.max(LEAST_PREDICTED), now.duration_since(run.sent));
        let ratio = seen.div_duration_f64(usual).clamp(FASTEST, SLOWEST);
        standing.failures = 0;
        standing.measured(ratio);
        let known = self.usual.entry(standing.server.pool.clone()).or_insert(ratio);
        *known += POOL_GAIN * (ratio - *known);
    }

    /// How many times longer than predicted the backend servers of a pool take.
    fn usual_slowness(&self, pool: &Pool) -> f64 {
        self.usual.get(pool).copied().unwrap_or(1.0)
    }

    /// Takes that a request ended.
    pub fn ended(&mut self, at: &Backend, ticket: Ticket, end: End, now: Instant) {
        let Some(standing) = self.standings.get_mut(at) else { return };
        let run = standing.runs.remove(&ticket);
        // A caller that leaves after waiting for so long was not served either.
        let overdue = run.is_some_and(|run| !run.begun && now > run.overdue_at);
        match end {
            End::Abandoned if overdue => standing.failed(now),
            End::Complete => standing.failures = 0,
            End::Unsent | End::Abandoned => {}
            End::Rejected => standing.avoid_until = Some(now + FULL_AVOIDED),
            End::Broken | End::Unreachable => standing.failed(now),
        }
    }
}

/// One daemon's part of the connections that a backend server accepts.
fn share_of_connections(most: u32, members: usize) -> usize {
    // A tenth is left for members that others do not know yet.
    (most as usize * 9 / 10 / members.max(1)).max(1)
}
