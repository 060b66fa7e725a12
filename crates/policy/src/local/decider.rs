//! Placement decisions of one daemon, from the state of backend servers and the daemon's shares.

mod admission;
mod cost;
mod eligibility;
mod notices;
mod placement;
mod prefix;

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
    cold::Bound as ColdBound,
    demand::Demand,
    holders::Holders,
    latency::Model,
    limit::Limits,
    notice::Notices,
    peer_loads::PeerLoads,
    repeats::{Bound as RepeatBound, Budget as RepeatBudget},
    reservation::{self, Reservation},
    server::{Load, Request, SendId, Server, State as ServerState},
    silence::Examination,
    urgency::Kinds,
};

/// How long a backend server that rejected a request as full gets no requests.
const REJECTION_BACKOFF: Duration = Duration::from_millis(60);
/// The bounds on one slowness measurement, so that an outlier has little influence.
const MIN_SLOWNESS: f64 = 0.3;
const MAX_SLOWNESS: f64 = 10.0;
/// The lower limit of the predicted time that a measurement is divided by.
const MIN_BASELINE: Duration = Duration::from_millis(5);
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
}

/// Settings of a decider.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The daemon's zone.
    pub zone: Zone,
    /// The hash of the daemon's name.
    pub own_hash: u32,
    /// The bound on cold backend servers.
    pub cold: ColdBound,
    /// The bound on repeats.
    pub repeats: RepeatBound,
    /// Whether workspaces have shares of a pool that is short of capacity, and refused callers turns.
    pub fair_shares: bool,
}

/// Places the requests of one daemon.
#[derive(Debug)]
pub struct Decider {
    settings: Settings,
    members: Vec<u32>,
    /// Whether `members` are all share holders.
    converged: bool,
    servers: Map<Backend, ServerState>,
    by_hash: Map<u32, Backend>,
    peer_loads: PeerLoads,
    notices: Notices,
    limits: Limits,
    repeats: Map<Pool, RepeatBudget>,
    reservations: Map<Pool, Reservation>,
    /// The kinds of requests for each pool of engines.
    kinds: Map<Pool, Kinds>,
    /// The speed of the backend servers of each pool.
    models: Map<Pool, Model>,
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
            settings,
            members,
            converged: false,
            servers: Map::default(),
            by_hash: Map::default(),
            peer_loads: PeerLoads::default(),
            notices: Notices::default(),
            limits: Limits::default(),
            repeats: Map::default(),
            reservations: Map::default(),
            kinds: Map::default(),
            models: Map::default(),
            admissions: Map::default(),
            last_send_id: 0,
            refusals: 0,
        }
    }

    /// Replaces the bounds when the settings change. A new bound on repeats resets the budgets.
    pub fn set_bounds(&mut self, cold: ColdBound, repeats: RepeatBound) {
        if self.settings.repeats != repeats {
            self.repeats.clear();
        }
        self.settings.cold = cold;
        self.settings.repeats = repeats;
    }

    /// Sets the hashes of the share holders, this daemon included. `converged` means that the list
    /// is complete. Without a complete list this daemon sends nothing to cold backend servers and
    /// uses no share of the burst of repeats.
    pub fn set_members(&mut self, members: Vec<u32>, converged: bool) {
        self.members = members;
        self.converged = converged;
    }

    /// Whether this daemon, of all share holders, decides alone what concerns the item with this
    /// hash.
    pub fn is_responsible_for(&self, item: u64) -> bool {
        let weight = |member: u32| (affinity::weight(member, item), member);
        let own = self.settings.own_hash;
        self.converged && self.members.iter().all(|&member| weight(member) <= weight(own))
    }

    /// Replaces the backend servers that may get requests. The state of those that stay is kept,
    /// unless their incarnation has changed.
    pub fn set_servers(&mut self, servers: Vec<Server>) {
        let mut previous = std::mem::take(&mut self.servers);
        self.by_hash.clear();
        for server in servers {
            let name = server.name.clone();
            self.by_hash.insert(server.hash, name.clone());
            let state = match previous.remove(&name) {
                Some(mut state) if state.server.incarnation == server.incarnation => {
                    state.server = server;
                    state
                }
                _ => ServerState::new(server),
            };
            self.servers.insert(name, state);
        }
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
    }

    /// Returns the backend servers that an attempt to connect must examine now, because they are
    /// silent. `silent_for` tells how long a server has sent nothing. The result of each attempt
    /// must be reported with [`Self::record_examined`].
    pub fn begin_examinations(
        &mut self,
        silent_for: impl Fn(&Backend) -> Duration,
        now: Instant,
    ) -> Vec<Backend> {
        let due = self.servers.iter_mut().filter_map(|(name, state)| {
            let waiting_since = state.waiting_since();
            let is_due = state.examination.is_due(
                waiting_since,
                || silent_for(name),
                state.avoid_until,
                now,
            );
            is_due.then(|| {
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
        let loads = self.servers.values_mut().map(|state| {
            let cold = state
                .cold_until
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
            (state.server.hash, state.own_load(now), cold)
        });
        loads.filter(|(_, load, cold)| *load != Load::default() || !cold.is_zero()).collect()
    }

    /// The maximum number of connections that this daemon may have to a backend server.
    pub fn connection_limit(&self, server: &Backend) -> usize {
        let total = self.servers.get(server).map_or(0, |state| state.server.max_connections);
        connection_share(total, self.members.len())
    }

    fn may_repeat(&mut self, pool: &Pool, now: Instant) -> bool {
        let holders = Holders {
            own: self.settings.own_hash,
            members: &self.members,
            converged: self.converged,
        };
        let budget = repeat_budget(&mut self.repeats, pool, self.settings.repeats);
        budget.allows_repeat(&holders, now)
    }

    /// Records that a request is sent. The id identifies the send in later calls.
    pub fn record_sent(&mut self, placement: &Placement, demand: &Demand, now: Instant) -> SendId {
        self.last_send_id += 1;
        let send_id = SendId(self.last_send_id);
        let repeats = repeat_budget(&mut self.repeats, &demand.pool, self.settings.repeats);
        if demand.is_repeat {
            repeats.record_repeat(now);
        } else {
            repeats.record_first_send(now);
        }
        self.limits.record_sent(&placement.server);
        self.record_start(placement, demand, now);
        let model = self.model(demand);
        if let Some(state) = self.servers.get_mut(&placement.server) {
            let pending = placement.load.pending_tokens.saturating_add(placement.uncached_tokens);
            let baseline = placement.predicted.div_f64(state.slowness());
            let request = Request {
                sent: now,
                overdue_at: now + placement.overdue_after,
                baseline,
                prefill_ratio: model
                    .prefill_time(f64::from(pending))
                    .div_duration_f64(baseline.max(MIN_BASELINE))
                    .min(1.0),
                uncached_tokens: placement.uncached_tokens,
                held_tokens: demand.held_tokens(),
                has_begun: false,
                decode_heavy: reservation::is_decode_heavy(demand),
            };
            state.requests.insert(send_id, request);
            state.sends.add(now);
            state.record_segments(demand, now);
        }
        send_id
    }

    /// Records the first event of a request. Further calls for the same send have no effect.
    pub fn record_first_event(&mut self, server: &Backend, send_id: SendId, now: Instant) {
        let Some(state) = self.servers.get_mut(server) else { return };
        let Some(request) = state.requests.get_mut(&send_id) else { return };
        if request.has_begun {
            return;
        }
        request.has_begun = true;
        let (baseline, actual) =
            (request.baseline.max(MIN_BASELINE), now.duration_since(request.sent));
        let ratio = actual.div_duration_f64(baseline).clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        let prefill_ratio = request.prefill_ratio;
        state.record_response(now);
        let model = self.models.get_mut(&state.server.pool);
        let correction = model.map_or(1.0, |model| model.record(ratio, prefill_ratio));
        state.record_slowness(ratio / correction);
    }

    /// The model of the pool that serves a request.
    fn model(&mut self, demand: &Demand) -> Model {
        let initial = || match demand.prompt_tokens {
            0 => Model::of_services(),
            _ => Model::of_engines(),
        };
        *self.models.entry(demand.pool.clone()).or_insert_with(initial)
    }

    /// Records how a request ended.
    pub fn record_end(&mut self, server: &Backend, send_id: SendId, end: End, now: Instant) {
        let Some(state) = self.servers.get_mut(server) else { return };
        let request = state.requests.remove(&send_id);
        // A caller that leaves while its first event is overdue was not served: also a failure.
        let overdue = request.is_some_and(|request| !request.has_begun && now > request.overdue_at);
        match end {
            End::Abandoned if overdue => state.record_failure(now),
            End::Complete => state.failures = 0,
            End::Unsent | End::Abandoned => {}
            End::Rejected => state.avoid_until = Some(now + REJECTION_BACKOFF),
            End::Failed => state.record_failure(now),
            End::Unreachable => state.record_unreachable(now),
        }
    }
}

fn repeat_budget<'a>(
    budgets: &'a mut Map<Pool, RepeatBudget>,
    pool: &Pool,
    bound: RepeatBound,
) -> &'a mut RepeatBudget {
    budgets.entry(pool.clone()).or_insert_with(|| RepeatBudget::new(bound))
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
