//! What a daemon has recorded about one backend server.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use hyssop_document::{
    build::Build,
    collections::Map,
    name::{Backend, Pool, Zone},
};

use super::{
    demand::Demand,
    latency::{Backlog, Shares},
    silence::Examination,
    speed::{self, Estimate, KINDS, PoolModel, Recent, Report},
    window::Window,
};

/// How long a backend server gets no requests after it could not be reached or a response failed.
/// Doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
/// The upper limit of the backoff, so that a recovered backend server is found within seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// How long a segment counts as cached after its last use by this daemon.
const SEGMENT_TTL: Duration = Duration::from_secs(15);
/// The number of recorded segments of one backend server above which expired ones are removed.
const MAX_SEGMENTS: usize = 1_024;
/// How long a backend server counts as unreachable after a connection failed. A crashed one is
/// removed from the published list seconds after its crash.
const UNREACHABLE_TTL: Duration = Duration::from_secs(2);
/// How long a response outweighs the reports of peers that can't reach its backend server.
const RESPONSE_TTL: Duration = Duration::from_secs(1);
/// The window in which sends to cold backend servers are counted.
const SEND_RATE_WINDOW: Duration = Duration::from_millis(1_100);
/// Failures in a row up to which an avoided backend server is still used if there is no other. A
/// backend server that fails one in three of its requests reaches this number with a probability of
/// one in nine.
const MAX_FALLBACK_FAILURES: u32 = 2;
/// The minimum weight of a new measurement in a backend server's slowness.
const MIN_SLOWNESS_GAIN: f64 = 0.1;
/// The number of a backend server's measurements that weigh as much as the speed of its pool.
const POOL_WEIGHT_MEASUREMENTS: f64 = 3.0;
/// The maximum number of measurements that count: older ones predict less than the present speed of
/// the pool.
const MAX_MEASUREMENTS: u32 = 10;
/// The factor within which one measurement may differ from the slowness so far. A single late first
/// event is more often the work of requests that this daemon has not observed.
const MAX_SLOWNESS_STEP: f64 = 3.0;

/// The divisor of the part by which the longest recent wait falls with each shorter one.
const WAIT_DECAY_DIVISOR: u32 = 8;
/// The number of events of a stream from which its gaps are measured. Among so many there are some
/// without prefill in between, unless the engine prefills all the time.
const EVENTS_PER_MEASUREMENT: u32 = 6;
/// Data that arrives sooner after other data belongs to the same event.
const MIN_GAP: Duration = Duration::from_millis(2);

/// A backend server that may get requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// The name by which decisions refer to the backend server.
    pub name: Backend,
    /// The hash of the name that daemons use among themselves.
    pub hash: u32,
    /// The pool.
    pub pool: Pool,
    /// The availability zone.
    pub zone: Zone,
    /// The version of the software.
    pub build: Build,
    /// The number of requests that the backend server runs at once.
    pub slots: u32,
    /// The tokens of KV cache, for a model engine.
    pub cache_tokens: Option<u64>,
    /// The tokens of KV cache per ms that the engine fetches from another one, if it can.
    pub fetch_tokens_per_ms: Option<f64>,
    /// The requests per second that the backend server sustains while cold; 0 if it is never cold.
    pub cold_rate: f64,
    /// The number of connections that the backend server accepts from all daemons.
    pub max_connections: u32,
    /// The start of the incarnation. What was recorded about an earlier incarnation is discarded.
    pub incarnation: u64,
}

/// The load of one daemon at a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Requests sent and not finished.
    pub running: u32,
    /// Prompt tokens sent and not prefilled yet.
    pub pending_tokens: u32,
    /// Tokens of KV cache held.
    pub held_tokens: u32,
    /// Requests sent in the last 1.1 seconds.
    pub recent_sends: u32,
    /// Running requests that are decode-heavy.
    pub decode_heavy: u32,
    /// Daemons that could not reach the backend server in the last seconds.
    pub unreachable: u32,
}

impl Load {
    /// The sum. It wraps: peers may send any values, and [`Self::wrapping_sub`] must undo it.
    pub fn wrapping_add(self, other: Self) -> Self {
        self.combine(other, u32::wrapping_add)
    }

    /// Subtracts a load that was added before.
    pub fn wrapping_sub(self, other: Self) -> Self {
        self.combine(other, u32::wrapping_sub)
    }

    fn combine(self, other: Self, with: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            running: with(self.running, other.running),
            pending_tokens: with(self.pending_tokens, other.pending_tokens),
            held_tokens: with(self.held_tokens, other.held_tokens),
            recent_sends: with(self.recent_sends, other.recent_sends),
            decode_heavy: with(self.decode_heavy, other.decode_heavy),
            unreachable: with(self.unreachable, other.unreachable),
        }
    }
}

/// Identifies one send of a request to a backend server, among all sends of one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub struct SendId(pub u64);

/// A request of this daemon that is in flight at the backend server.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) sent: Instant,
    /// When the first event is so late that it may never come.
    pub(super) overdue_at: Instant,
    /// The predicted time to the first event.
    pub(super) predicted: Duration,
    /// The predicted time to the first event on a backend server of usual speed.
    pub(super) baseline: Duration,
    /// The logarithm of the pool's level that `baseline` includes.
    pub(super) level: f64,
    /// The parts of `baseline`.
    pub(super) shares: Shares,
    /// The predicted decoding time on a backend server of usual speed.
    pub(super) decode: Duration,
    pub(super) uncached_tokens: u32,
    pub(super) held_tokens: u32,
    /// When the first event came.
    pub(super) begun_at: Option<Instant>,
    /// The events since the last measurement of gaps.
    pub(super) gaps: Gaps,
    /// The running requests when it was sent.
    pub(super) running: u32,
    pub(super) decode_heavy: bool,
    pub(super) is_repeat: bool,
}

/// Measures the gaps between the events of a stream.
#[derive(Debug, Default)]
pub(super) struct Gaps {
    /// The last two events.
    last: Option<Instant>,
    before_last: Option<Instant>,
    events: u32,
    shortest: Option<Duration>,
}

impl Gaps {
    /// Records an event. After every [`EVENTS_PER_MEASUREMENT`] returns the shortest gap among them.
    ///
    /// It is the mean of two consecutive gaps, so that an event that arrives late does not make the
    /// next gap the shortest.
    pub(super) fn record(&mut self, now: Instant) -> Option<Duration> {
        if self.last.is_some_and(|last| now.saturating_duration_since(last) < MIN_GAP) {
            return None;
        }
        if let Some(before_last) = self.before_last {
            let gap = now.saturating_duration_since(before_last) / 2;
            self.shortest = Some(self.shortest.map_or(gap, |shortest| shortest.min(gap)));
        }
        (self.before_last, self.last) = (self.last, Some(now));
        self.events += 1;
        (self.events.is_multiple_of(EVENTS_PER_MEASUREMENT)).then(|| self.shortest.take())?
    }
}

impl Request {
    /// Whether the first event has come.
    pub(super) fn has_begun(&self) -> bool {
        self.begun_at.is_some()
    }
}

/// The state of one backend server, as this daemon and its peers have observed it.
#[derive(Debug)]
pub struct State {
    pub(super) server: Server,
    pub(super) requests: Map<SendId, Request>,
    pub(super) sends: Window,
    /// The end of the cold start, as the backend server publishes it.
    pub(super) cold_until: Option<Instant>,
    /// The end of the cold start, as peers reported it.
    pub(super) peer_cold_until: Option<Instant>,
    pub(super) avoid_until: Option<Instant>,
    /// Failures in a row.
    pub(super) failures: u32,
    /// Until when the backend server counts as unreachable, because a connection failed.
    unreachable_until: Option<Instant>,
    pub(super) examination: Examination,
    /// The last first event of a response.
    last_response: Option<Instant>,
    /// The longest recent time to a first event.
    pub(super) longest_wait: Option<Duration>,
    /// How many times longer than predicted the backend server took, by this daemon's measurements.
    own_slowness: f64,
    own_measurements: u32,
    /// The recent measurements of this daemon, as it reports them.
    recent: [Option<Recent>; KINDS],
    /// The recent measurements of all daemons.
    estimates: [Estimate; KINDS],
    /// The slowness by these, or by this daemon's own.
    slowness: f64,
    /// The last use of each segment by this daemon.
    pub(super) segments: Map<u64, Instant>,
}

impl State {
    pub(super) fn new(server: Server) -> Self {
        Self {
            server,
            requests: Map::default(),
            sends: Window::new(SEND_RATE_WINDOW),
            cold_until: None,
            peer_cold_until: None,
            avoid_until: None,
            failures: 0,
            unreachable_until: None,
            examination: Examination::None,
            last_response: None,
            longest_wait: None,
            own_slowness: 1.0,
            own_measurements: 0,
            recent: [None; KINDS],
            estimates: Default::default(),
            slowness: 1.0,
            segments: Map::default(),
        }
    }

    /// The load of this daemon at the backend server.
    pub fn own_load(&mut self, now: Instant) -> Load {
        let mut load = Load {
            recent_sends: self.sends.count(now) as u32,
            unreachable: u32::from(self.unreachable_until.is_some_and(|until| until > now)),
            ..Load::default()
        };
        for request in self.requests.values() {
            load.running += 1;
            load.decode_heavy += u32::from(request.decode_heavy);
            load.held_tokens = load.held_tokens.saturating_add(request.held_tokens);
            if !request.has_begun() {
                load.pending_tokens = load.pending_tokens.saturating_add(request.uncached_tokens);
            }
        }
        load
    }

    /// How many times longer than the others of its pool the backend server takes.
    pub(super) fn slowness(&self) -> f64 {
        self.slowness
    }

    /// The number of measurements behind [`Self::slowness`], at most one of each daemon if several
    /// daemons have measured.
    pub(super) fn measurements(&self) -> usize {
        match self.estimates[speed::GAP].quorum() {
            0 => self.own_measurements as usize,
            votes => votes,
        }
    }

    /// Whether a response of the backend server has been measured.
    pub(super) fn is_measured(&self) -> bool {
        self.measurements() > 0
    }

    pub(super) fn backlog(&self, load: Load) -> Backlog {
        Backlog {
            pending_tokens: f64::from(load.pending_tokens),
            running: f64::from(load.running),
            slots: f64::from(self.server.slots),
            slowness: self.slowness(),
        }
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        let until = self.cold_until.max(self.peer_cold_until);
        self.server.cold_rate > 0.0 && until.is_some_and(|until| until > now)
    }

    pub(super) fn is_avoided(&self, now: Instant) -> bool {
        self.examination != Examination::None || self.avoid_until.is_some_and(|until| until > now)
    }

    /// Records the first event of a response, `wait` after its request was sent.
    pub(super) fn record_response(&mut self, wait: Duration, now: Instant) {
        let longest = self.longest_wait.unwrap_or_default();
        self.longest_wait = Some(wait.max(longest - longest / WAIT_DECAY_DIVISOR));
        self.failures = 0;
        self.unreachable_until = None;
        self.examination = Examination::None;
        self.last_response = Some(now);
    }

    /// Records that no connection to the backend server could be used.
    pub(super) fn record_unreachable(&mut self, now: Instant) {
        self.unreachable_until = Some(now + UNREACHABLE_TTL);
        self.record_failure(now);
    }

    /// Records that the backend server accepted a connection after it had been silent. That says
    /// nothing about how its requests end.
    pub(super) fn record_reachable(&mut self) {
        self.examination = Examination::None;
        self.unreachable_until = None;
    }

    /// Ends the backoff after failed connections, as the pool was out of reach.
    pub(super) fn forgive_connections(&mut self) {
        if self.unreachable_until.is_some() || self.examination == Examination::Failed {
            self.record_reachable();
            self.avoid_until = None;
            self.failures = 0;
        }
    }

    /// Whether other daemons can't reach the backend server and this one has had no response
    /// recently.
    pub(super) fn is_reported_unreachable(&self, load: Load, now: Instant) -> bool {
        let responded = self.last_response.is_some_and(|at| now.duration_since(at) <= RESPONSE_TTL);
        load.unreachable > 0 && !responded
    }

    /// Whether a request waits for its first event far longer than was predicted.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        self.requests.values().any(|request| !request.has_begun() && now > request.overdue_at)
    }

    /// Whether the backend server can't be reached, or failed many requests in a row.
    pub(super) fn may_be_down(&self, now: Instant) -> bool {
        self.failures > MAX_FALLBACK_FAILURES
            || self.unreachable_until.is_some_and(|until| until > now)
    }

    /// Whether the backend server failed so few requests that it is still used if all others are
    /// avoided too.
    pub(super) fn is_fallback(&self) -> bool {
        let examined = self.examination != Examination::None && self.failures == 0;
        examined || (1..=MAX_FALLBACK_FAILURES).contains(&self.failures)
    }

    /// The prompt tokens that must be prefilled on this backend server. `is_first_choice` means
    /// that all daemons send prompts with this shared prefix to it.
    pub(super) fn uncached_tokens(
        &self,
        demand: &Demand,
        is_first_choice: bool,
        now: Instant,
    ) -> u32 {
        let shared_prefix = demand.shared_prefix().map(|segment| segment.id);
        let cached = |id: u64| {
            self.segments.get(&id).is_some_and(|&used| now.duration_since(used) <= SEGMENT_TTL)
        };
        let mut uncached = demand.prompt_tokens;
        let mut assumed = is_first_choice;
        for segment in &demand.segments {
            if !(assumed || cached(segment.id)) {
                break;
            }
            uncached = uncached.saturating_sub(segment.tokens);
            if Some(segment.id) == shared_prefix {
                assumed = false;
            }
        }
        uncached
    }

    pub(super) fn record_segments(&mut self, demand: &Demand, now: Instant) {
        if self.segments.len() > MAX_SEGMENTS {
            self.segments.retain(|_, used| now.duration_since(*used) <= SEGMENT_TTL);
        }
        for segment in &demand.segments {
            self.segments.insert(segment.id, now);
        }
    }

    /// Starts or extends the backoff, because a response failed or is overdue, or the backend
    /// server could not be reached.
    pub(super) fn record_failure(&mut self, now: Instant) {
        let factor = 1 << self.failures.min(4);
        self.failures += 1;
        self.avoid_until = Some(now + (MIN_BACKOFF * factor).min(MAX_BACKOFF));
    }

    /// Adds a measurement: how many times longer the first event took than predicted for a backend
    /// server of usual speed.
    pub(super) fn record_slowness(&mut self, ratio: f64, pool: &mut PoolModel, now: Instant) {
        self.record_measurement(speed::FIRST_EVENT, ratio.ln(), pool, now);
        let own = self.own_slowness;
        let ratio = ratio.clamp(own / MAX_SLOWNESS_STEP, own * MAX_SLOWNESS_STEP);
        self.own_measurements = (self.own_measurements + 1).min(MAX_MEASUREMENTS);
        let gain = (1.0 / f64::from(self.own_measurements)).max(MIN_SLOWNESS_GAIN);
        // The geometric mean: a few late first events count less than in the arithmetic one.
        self.own_slowness *= (ratio / own).powf(gain);
        self.merge(now);
    }

    /// Adds a measurement of the gaps between events.
    pub(super) fn record_gap(&mut self, ratio: f64, pool: &mut PoolModel, now: Instant) {
        self.record_measurement(speed::GAP, ratio.ln(), pool, now);
        self.merge(now);
    }

    /// Adds the logarithm of a measurement to those of all daemons. Plain services don't share
    /// theirs.
    fn record_measurement(&mut self, kind: usize, log: f64, pool: &mut PoolModel, now: Instant) {
        if self.server.cache_tokens.is_some() {
            let recent = Recent::add(self.recent[kind], log, now);
            self.recent[kind] = Some(recent);
            self.estimates[kind].record(None, pool.excess(kind, recent.log), now);
            pool.record_level(kind, recent.log);
        }
    }

    /// Adds what a peer has measured.
    pub(super) fn record_report(
        &mut self,
        peer: IpAddr,
        report: &Report,
        pool: &mut PoolModel,
        now: Instant,
    ) {
        let Some(at) = now.checked_sub(report.age) else { return };
        if report.incarnation != speed::incarnation_tag(self.server.incarnation) {
            return;
        }
        for (kind, log) in report.logs().into_iter().enumerate() {
            let Some(log) = log else { continue };
            if self.estimates[kind].record(Some(peer), pool.excess(kind, log), at) {
                pool.record_level(kind, log);
                self.merge(now);
            }
        }
    }

    /// This daemon's recent measurements, if there are any.
    pub(super) fn report(&self, now: Instant) -> Option<Report> {
        let age = self.recent.iter().flatten().map(|recent| recent.age(now)).min()?;
        let slowness = self.recent.map(|recent| {
            let recent = recent.filter(|recent| recent.age(now) <= age + speed::NEW_FOR);
            recent.map_or(0.0, |recent| recent.log.exp())
        });
        let incarnation = speed::incarnation_tag(self.server.incarnation);
        (age <= speed::MAX_REPORT_AGE).then_some(Report { incarnation, slowness, age })
    }

    /// Removes measurements that are too old.
    pub(super) fn expire_measurements(&mut self, now: Instant) {
        self.estimates.iter_mut().for_each(|estimate| estimate.expire(now));
        self.merge(now);
    }

    fn merge(&mut self, now: Instant) {
        let own = f64::from(self.own_measurements);
        let own_slowness =
            (self.own_slowness * own + POOL_WEIGHT_MEASUREMENTS) / (own + POOL_WEIGHT_MEASUREMENTS);
        self.slowness = self.estimates[speed::GAP].slowness(now).unwrap_or(own_slowness);
    }
}
