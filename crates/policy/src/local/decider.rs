//! Placement decisions of one daemon, from the state of backend servers and the daemon's shares.

mod admission;
mod candidate;
mod cost;
mod eligibility;
mod hedge;
mod lateness;
mod notices;
mod partition;
mod placement;
mod prefix;
mod reach;
mod selection;
mod speeds;

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use hyssop_document::{
    collections::Map,
    name::{Backend, Pool, Zone},
};

use super::{
    admission::Admission,
    affinity,
    brittle::Brittle,
    cold::Bound as ColdBound,
    demand::Demand,
    hedge::Hedges,
    holders::{Holders, Membership},
    limit::Limits,
    notice::Notices,
    peer_loads::PeerLoads,
    reach::Reach,
    repeats::{Bound as RepeatBound, Budget as RepeatBudget, Start},
    reservation::Reservation,
    server::{Load, SendId, Server, State as ServerState},
    silence::{self, Contact, Examination},
    speed::PoolModel,
    urgency::Kinds,
};

/// How long a backend server that rejected a request as full gets no requests.
const REJECTION_BACKOFF: Duration = Duration::from_millis(60);
/// A first event that is later than this multiple of the predicted time plus this time may never
/// come. Requests that may run again elsewhere are given up after the same time.
const OVERDUE_THRESHOLD: (u32, Duration) = (3, Duration::from_millis(500));
/// The multiple of the target before which a request at an engine is never overdue. When all engines
/// are behind, requests that move to another engine only add to the work.
const MIN_OVERDUE_TARGETS: u32 = 2;
/// The minimum time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// The maximum of that time, before it is extended at random.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The backend server for a request, with the figures behind the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The backend server.
    pub server: Backend,
    /// The predicted time to the first event.
    pub predicted: Duration,
    /// The time after which the first event is so late that it may never come.
    pub overdue_after: Duration,
    /// The prompt tokens that the backend server must prefill.
    pub uncached_tokens: u32,
    /// The engine from which the backend server fetches the KV cache of the shared prefix.
    pub cache_source: Option<Backend>,
    /// The load of all daemons at the backend server, as far as this daemon has observed it.
    pub load: Load,
    /// The number of engines reserved for decode-heavy requests.
    pub reserved_engines: usize,
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it to this backend server.
    Send(Placement),
    /// Refuse it without sending it.
    Refuse {
        /// Why it is refused.
        reason: Reason,
        /// The time after which the caller should retry.
        retry_after: Duration,
        /// The predicted time to the first event at the best backend server, if there was one.
        predicted: Option<Duration>,
    },
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Reason {
    /// No backend server of the pool is in service.
    #[display("no_server")]
    NoServer,
    /// The request continues a stream, and no backend server of the build that began it is in
    /// service.
    #[display("other_build")]
    OtherBuild,
    /// All usable backend servers are cold, and this daemon's share of their rate is used.
    #[display("cold")]
    Cold,
    /// All backend servers have asked this daemon for a pause.
    #[display("paused")]
    Paused,
    /// All backend servers have named limits, and this daemon's shares of them are used.
    #[display("limited")]
    Limited,
    /// All backend servers may be full, and fall over if they reject too many requests.
    #[display("brittle")]
    Brittle,
    /// All connections of this daemon to the backend servers are in use.
    #[display("connections")]
    Connections,
    /// The first event would come too late for the caller, or too long after its target.
    #[display("overload")]
    Overload,
    /// Capacity is short, and the workspace has had its share.
    #[display("share")]
    Share,
    /// The request is a repeat, and the budget for repeats is used.
    #[display("repeats")]
    Repeats,
}

/// How a request at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum End {
    /// The response is complete.
    #[display("complete")]
    Complete,
    /// The backend server rejected the request and has not run it.
    #[display("rejected")]
    Rejected,
    /// The connection or the response failed.
    #[display("broken")]
    Failed,
    /// The backend server could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// Nothing was sent, for a reason that has nothing to do with the backend server.
    #[display("unsent")]
    Unsent,
    /// The caller left, or the deadline passed.
    #[display("abandoned")]
    Abandoned,
    /// Another backend server responded first to a hedged request.
    #[display("cancelled")]
    Cancelled,
}

/// Settings of a decider.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The daemon's zone.
    pub zone: Zone,
    /// The hash of the daemon's name.
    pub own_hash: u32,
    /// The start of the daemon's process.
    pub start: Start,
    /// The bound on cold backend servers.
    pub cold: ColdBound,
    /// The bound on repeats.
    pub repeats: RepeatBound,
    /// The bound on hedges, or `None` if none are sent.
    pub hedges: Option<RepeatBound>,
    /// Whether workspaces have shares of a pool that is short of capacity, and refused callers turns.
    pub fair_shares: bool,
    /// Whether daemons share their measurements of backend servers' speeds, and divide long prompts
    /// among engines by speed, memory and gap limits.
    pub shared_speeds: bool,
}

/// Places the requests of one daemon.
#[derive(Debug)]
pub struct Decider {
    settings: Settings,
    members: Vec<u32>,
    /// Whether `members` are all share holders.
    membership: Membership,
    servers: Map<Backend, ServerState>,
    by_hash: Map<u32, Backend>,
    peer_loads: PeerLoads,
    reach: Reach,
    notices: Notices,
    limits: Limits,
    brittle: Brittle,
    repeats: Map<Pool, RepeatBudget>,
    hedges: Hedges,
    reservations: Map<Pool, Reservation>,
    /// The speeds of engines by which shared prefixes are divided, by the hashes of their names.
    speeds: Map<u32, affinity::Speed>,
    /// The kinds of requests for each pool of engines.
    kinds: Map<Pool, Kinds>,
    /// The speed of the backend servers of each pool.
    models: Map<Pool, PoolModel>,
    /// Counted to report a different sample of measurements in each heartbeat.
    speed_reports: u64,
    /// The shortage of capacity of each class, by [`Demand::class`].
    admissions: Map<u32, Admission>,
    last_send_id: u64,
    /// Counted to draw a different retry time for each refusal.
    refusals: u64,
}

impl Decider {
    /// Creates a decider without backend servers.
    pub fn new(settings: Settings) -> Self {
        let members = vec![settings.own_hash];
        Self {
            hedges: Hedges::new(settings.hedges, settings.start),
            settings,
            members,
            membership: Membership::default(),
            servers: Map::default(),
            by_hash: Map::default(),
            peer_loads: PeerLoads::default(),
            reach: Reach::default(),
            notices: Notices::default(),
            limits: Limits::default(),
            brittle: Brittle::default(),
            repeats: Map::default(),
            reservations: Map::default(),
            speeds: Map::default(),
            kinds: Map::default(),
            models: Map::default(),
            speed_reports: 0,
            admissions: Map::default(),
            last_send_id: 0,
            refusals: 0,
        }
    }

    /// Replaces the bounds when the settings change.
    pub fn set_bounds(
        &mut self,
        cold: ColdBound,
        repeats: RepeatBound,
        hedges: Option<RepeatBound>,
    ) {
        self.hedges.set_bound(hedges);
        self.repeats.values_mut().for_each(|budget| budget.set_bound(repeats));
        self.settings.cold = cold;
        self.settings.repeats = repeats;
    }

    /// Sets the hashes of the share holders, this daemon included, and how complete the list is.
    /// Without a complete list this daemon sends nothing to cold backend servers and saves up one repeat
    /// at most. Returns whether `membership` differs from the previous one.
    pub fn set_members(&mut self, members: Vec<u32>, membership: Membership) -> bool {
        self.members = members;
        std::mem::replace(&mut self.membership, membership) != membership
    }

    /// Whether this daemon, of all share holders, decides alone what concerns the item with this
    /// hash.
    pub fn is_responsible_for(&self, item: u64) -> bool {
        let weight = |member: u32| (affinity::weight(member, item), member);
        let own = self.settings.own_hash;
        self.membership == Membership::Converged
            && self.members.iter().all(|&member| weight(member) <= weight(own))
    }

    /// Replaces the backend servers that may get requests. The state of those that stay is kept,
    /// unless their incarnation has changed.
    pub fn set_servers(&mut self, servers: Vec<Server>) {
        let mut previous = std::mem::take(&mut self.servers);
        self.by_hash.clear();
        for server in servers {
            let name = server.name.clone();
            self.by_hash.insert(server.hash, name.clone());
            self.add_model(&server);
            let state = match previous.remove(&name) {
                Some(mut state) if state.server.incarnation == server.incarnation => {
                    state.server = server;
                    state
                }
                _ => ServerState::new(server),
            };
            self.servers.insert(name, state);
        }
        let by_hash = &self.by_hash;
        self.speeds.retain(|hash, _| by_hash.contains_key(hash));
        let servers = &self.servers;
        self.reach.retain(|pool| servers.values().any(|state| state.server.pool == *pool));
    }

    /// Records until when a backend server is cold, by what it publishes.
    pub fn record_cold(&mut self, server: &Backend, until: Instant) {
        if let Some(state) = self.servers.get_mut(server) {
            state.cold_until = Some(until);
        }
    }

    /// Records all loads of a peer, and how long the peer expects each backend server to stay cold.
    pub fn record_peer(&mut self, peer: IpAddr, loads: &[(u32, Load, Duration)], now: Instant) {
        for &(hash, _, cold) in loads.iter().filter(|(.., cold)| !cold.is_zero()) {
            let Some(name) = self.by_hash.get(&hash) else { continue };
            let Some(state) = self.servers.get_mut(name) else { continue };
            state.peer_cold_until = state.peer_cold_until.max(Some(now + cold));
        }
        self.peer_loads.record(
            peer,
            loads.iter().map(|&(hash, load, _)| (hash, load)).collect(),
            now,
        );
    }

    /// Removes the loads of peers without a recent heartbeat.
    pub fn expire_peers(&mut self, now: Instant) {
        self.peer_loads.expire(now);
        self.expire_speeds(now);
    }

    /// Returns the backend servers that an attempt to connect must examine now, because they should
    /// have sent something and are silent. `contact` tells when each was last heard of. The result of
    /// each attempt must be reported with [`Self::record_examined`].
    pub fn begin_examinations(
        &mut self,
        contact: impl Fn(&Backend) -> Contact,
        now: Instant,
    ) -> Vec<Backend> {
        let reach = &self.reach;
        let due = self.servers.iter_mut().filter_map(|(name, state)| {
            // The probes of a lost pool tell when it is back.
            let is_lost = reach.is_lost(&state.server.pool);
            (!is_lost && silence::is_due(state, &contact(name), now)).then(|| {
                state.examination = Examination::Running;
                name.clone()
            })
        });
        due.collect()
    }

    /// Records whether a silent backend server accepted a connection.
    pub fn record_examined(&mut self, server: &Backend, reachable: bool, now: Instant) {
        let Some(state) = self.servers.get_mut(server) else { return };
        if state.examination != Examination::Running {
            return;
        }
        if reachable {
            state.record_reachable();
        } else {
            state.examination = Examination::Failed;
            state.record_unreachable(now);
        }
    }

    /// The daemon's load at each backend server, and how long that server stays cold by what it
    /// publishes. Cold times reported by peers are not passed on: each hop would extend them.
    pub fn own_loads(&mut self, now: Instant) -> Vec<(u32, Load, Duration)> {
        let reach = &self.reach;
        let loads = self.servers.values_mut().map(|state| {
            let cold = state
                .cold_until
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
            let mut load = state.own_load(now);
            if reach.is_lost(&state.server.pool) {
                // This daemon's links have failed, and not the backend servers.
                load.unreachable = 0;
            }
            (state.server.hash, load, cold)
        });
        loads.filter(|(_, load, cold)| *load != Load::default() || !cold.is_zero()).collect()
    }

    /// The maximum number of connections that this daemon may have to a backend server.
    pub fn connection_limit(&self, server: &Backend) -> usize {
        let total = self.servers.get(server).map_or(0, |state| state.server.max_connections);
        connection_share(total, self.members.len())
    }

    fn may_repeat(&mut self, pool: &Pool, now: Instant) -> bool {
        let (budget, holders) = self.repeat_budget(pool);
        budget.allows_repeat(&holders, now)
    }

    /// Records that no byte of a request has reached its backend server, and none will. A repeat then
    /// does not count. Call it before [`Self::record_end`].
    pub fn record_not_received(&mut self, server: &Backend, send_id: SendId) {
        let Some(state) = self.servers.get(server) else { return };
        if state.requests.get(&send_id).is_some_and(|request| request.is_repeat) {
            let pool = state.server.pool.clone();
            self.repeat_budget(&pool).0.cancel_repeat();
        }
    }

    /// How many repeats to a pool this daemon may send now.
    pub fn repeats_left(&mut self, pool: &Pool, now: Instant) -> f64 {
        let (budget, holders) = self.repeat_budget(pool);
        budget.left(&holders, now)
    }

    /// The budget for repeats to a pool, and the daemons that share it.
    fn repeat_budget(&mut self, pool: &Pool) -> (&mut RepeatBudget, Holders<'_>) {
        let holders = Holders {
            own: self.settings.own_hash,
            members: &self.members,
            membership: self.membership,
        };
        let Settings { repeats, start, .. } = self.settings;
        let create = || RepeatBudget::new(repeats, start);
        (self.repeats.entry(pool.clone()).or_insert_with(create), holders)
    }

    /// Records that a request is sent. The id identifies the send in later calls.
    pub fn record_sent(&mut self, placement: &Placement, demand: &Demand, now: Instant) -> SendId {
        self.last_send_id += 1;
        let send_id = SendId(self.last_send_id);
        let (repeats, _) = self.repeat_budget(&demand.pool);
        if demand.is_repeat {
            repeats.record_repeat(now);
        } else if !demand.is_recorded {
            repeats.record_first_send();
            self.hedges.record_first_send(&demand.pool);
        }
        self.limits.record_sent(&placement.server);
        self.brittle.record_sent(&placement.server);
        self.record_start(placement, demand, now);
        let model = self.model(demand);
        let level = self.models.get(&demand.pool).map_or(0.0, PoolModel::present_level);
        if let Some(state) = self.servers.get_mut(&placement.server) {
            let request = speeds::sent_request(state, (&model, level), placement, demand, now);
            state.requests.insert(send_id, request);
            state.sends.add(now);
            state.record_segments(demand, now);
        }
        send_id
    }
}

/// The time after which the first event of a request is overdue.
fn overdue_after(predicted: Duration, demand: &Demand) -> Duration {
    let (factor, slack) = OVERDUE_THRESHOLD;
    let overdue = predicted * factor + slack;
    match demand.prompt_tokens {
        0 => overdue,
        _ => overdue.max(demand.target * MIN_OVERDUE_TARGETS),
    }
}

/// One daemon's share of the connections that a backend server accepts.
fn connection_share(total: u32, members: usize) -> usize {
    // A tenth is left for members that other daemons have not observed yet.
    (total as usize * 9 / 10 / members.max(1)).max(1)
}
