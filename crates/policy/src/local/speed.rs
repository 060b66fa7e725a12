//! Speeds of backend servers and models of pools, merged from the measurements of all daemons.
//!
//! For pools whose backend servers differ in speed and whose requests arrive at many daemons: one
//! daemon measures each backend server too rarely to know its speed, all daemons together measure it
//! several times per second. Each daemon reports its own measurements in heartbeats and takes the
//! median over the daemons, so that no single one moves an estimate far. Reports are not forwarded.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use super::latency::Model;

/// The maximum number of daemons whose measurements count for one backend server or pool. The
/// median of more changes little, and the memory stays constant.
const MAX_VOTES: usize = 16;
/// The number of daemons with measurements from which their median is used. The median of fewer is
/// not robust, so that this daemon's own measurements are.
const MIN_VOTES: usize = 3;
/// How long a measurement counts.
const VOTE_TTL: Duration = Duration::from_secs(30);
/// The age difference to the newest measurement that halves a weight. A backend server that becomes
/// slower for 600 ms contributes less than half of the weight, one that stays slow contributes most
/// of it after a second.
const VOTE_HALF_LIFE: Duration = Duration::from_millis(800);
/// Two reports of a daemon whose times differ by less are of the same measurement. Includes the
/// resolution of ages in heartbeats and the variation of their delays.
const SAME_MEASUREMENT: Duration = Duration::from_millis(100);
/// The quantile of the measurements of a backend server that tells its speed. Queues that daemons
/// have not observed only ever delay a first event, so that a low one depends least on them.
const SPEED_QUANTILE: f64 = 0.3;
/// The time in which an estimate follows half of a small deviation.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_millis(2_500);
/// The deviation that is followed once it has lasted: a factor of 2, as a logarithm.
const LARGE_DEVIATION: f64 = std::f64::consts::LN_2;
/// How long. Engines are at times slow for 600 ms.
const LASTING: Duration = Duration::from_millis(700);
/// The logarithms up to which a slowness does not count, and from which it counts in full: factors
/// of 1.25 and 1.5. Queues cause smaller differences among equal engines, and if all daemons avoid the
/// same ones for that, they overload the others.
const INSIGNIFICANT_LOG: (f64, f64) = (0.22, 0.41);
/// The time without measurements that halves the logarithm of a slowness.
const UNMEASURED_HALF_LIFE: Duration = Duration::from_secs(4);
/// The minimum weight of a new measurement in a pool's level and in its low levels, and by how much
/// its logarithm may differ from them.
const MIN_LEVEL_GAIN: f64 = 0.01;
const MIN_LOW_LEVEL_GAIN: f64 = 0.03;
const MAX_LEVEL_STEP: f64 = 0.7;
/// The level up to which predictions don't include it, and from which they include it in full:
/// factors of 1.4 and 2.1. Including smaller ones made the replay of a large fleet of equal engines
/// refuse requests that were in time without.
const INSIGNIFICANT_LEVEL: (f64, f64) = (0.35, 0.75);
/// The bounds on a reported slowness.
const SLOWNESS: (f64, f64) = (0.07, 60.0);
/// How long this daemon's own measurement counts as new, so that each peer is sent it at least once.
/// Peers in other zones are sent every second or third heartbeat, some of which get lost.
pub(super) const NEW_FOR: Duration = Duration::from_secs(1);
/// The maximum age of a measurement in heartbeats, for peers that have started since.
pub(super) const MAX_REPORT_AGE: Duration = Duration::from_secs(12);
/// The age difference that halves the influence of this daemon's earlier measurements on what it
/// reports.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// The weight that a merged model has when it becomes this daemon's own, in measurements.
const ADOPTED_MEASUREMENTS: u32 = 10;

/// The kinds of measurements: first events, which tell the level of a pool, and gaps between events,
/// which tell the speed of an engine. A queue before a first event is no property of the engine: in
/// the replay of a large fleet of equal engines, speeds from first events made all daemons avoid the
/// same engines.
pub const KINDS: usize = 2;
/// The index of measurements of first events.
pub(super) const FIRST_EVENT: usize = 0;
/// The index of measurements of gaps.
pub(super) const GAP: usize = 1;
/// The gap that counts as a slowness of 1 in reports. Only ratios between engines are used.
pub(super) const REFERENCE_GAP: Duration = Duration::from_millis(32);

/// A daemon's recent measurement of a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// The [`incarnation_tag`] of the backend server.
    pub incarnation: u8,
    /// How many times longer than usual in its pool the backend server took for a first event, and
    /// for the following events. 0 if that has not been measured.
    pub slowness: [f64; KINDS],
    /// How long ago it was measured.
    pub age: Duration,
}

impl Report {
    /// The logarithms of the slownesses that are possible ones.
    pub(super) fn logs(&self) -> [Option<f64>; KINDS] {
        let (least, most) = SLOWNESS;
        self.slowness.map(|slowness| {
            let is_valid = slowness.is_finite() && slowness > 0.0;
            is_valid.then(|| slowness.clamp(least, most).ln())
        })
    }
}

/// Distinguishes the incarnations of a backend server in reports.
pub fn incarnation_tag(incarnation: u64) -> u8 {
    (incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56) as u8
}

/// The newest values that one daemon has measured, as logarithms.
#[derive(Debug, Clone, Copy)]
struct Vote<const N: usize> {
    /// The daemon, or `None` for this one.
    sender: Option<IpAddr>,
    logs: [f64; N],
    at: Instant,
}

/// The newest values of several daemons, one for each daemon.
#[derive(Debug)]
pub(super) struct Votes<const N: usize> {
    votes: Vec<Vote<N>>,
}

impl<const N: usize> Default for Votes<N> {
    fn default() -> Self {
        Self { votes: Vec::new() }
    }
}

impl<const N: usize> Votes<N> {
    /// Records what a daemon measured at `at`. Returns whether that changes anything.
    pub(super) fn record(&mut self, sender: Option<IpAddr>, logs: [f64; N], at: Instant) -> bool {
        let vote = Vote { sender, logs, at };
        if let Some(earlier) = self.votes.iter_mut().find(|vote| vote.sender == sender) {
            let is_new = sender.is_none() || at > earlier.at + SAME_MEASUREMENT;
            if is_new {
                *earlier = vote;
            }
            return is_new;
        }
        if self.votes.len() < MAX_VOTES {
            self.votes.push(vote);
            return true;
        }
        let oldest = self.votes.iter_mut().min_by_key(|vote| vote.at);
        let Some(oldest) = oldest.filter(|oldest| oldest.at < at) else { return false };
        *oldest = vote;
        true
    }

    /// Removes what is too old. Returns whether there was something.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let before = self.votes.len();
        self.votes.retain(|vote| now.saturating_duration_since(vote.at) <= VOTE_TTL);
        self.votes.len() != before
    }

    /// The number of daemons, or 0 if they are too few for a median.
    pub(super) fn quorum(&self) -> usize {
        if self.votes.len() < MIN_VOTES { 0 } else { self.votes.len() }
    }

    /// The weight of each vote: the older than the newest one, the less.
    fn weights(&self) -> Vec<f64> {
        let newest = self.votes.iter().map(|vote| vote.at).max();
        let weight = |vote: &Vote<N>| {
            let age = newest.map_or(Duration::ZERO, |newest| newest.duration_since(vote.at));
            0.5_f64.powf(age.div_duration_f64(VOTE_HALF_LIFE))
        };
        self.votes.iter().map(weight).collect()
    }

    /// The weighted quantile of each value, if enough daemons have measured it.
    pub(super) fn quantiles(&self, q: f64) -> Option<[f64; N]> {
        (self.quorum() > 0).then(|| {
            let weights = self.weights();
            std::array::from_fn(|index| {
                let logs = self.votes.iter().map(|vote| vote.logs[index]);
                quantile(logs.zip(weights.iter().copied()), q)
            })
        })
    }
}

/// The slowness of one backend server by the measurements of all daemons.
#[derive(Debug, Default)]
pub(super) struct Estimate {
    votes: Votes<1>,
    /// The logarithm, smoothed over time.
    log: f64,
    updated: Option<Instant>,
    /// When there was the first estimate. The first ones follow the measurements at once.
    begun: Option<Instant>,
    /// Since when the measurements have deviated by more than [`LARGE_DEVIATION`].
    deviating_since: Option<Instant>,
}

impl Estimate {
    /// Records the logarithm of what a daemon measured. Returns whether it is new.
    pub(super) fn record(&mut self, sender: Option<IpAddr>, log: f64, at: Instant) -> bool {
        self.votes.record(sender, [log], at)
    }

    /// The number of daemons that have measured, or 0 if they are too few.
    pub(super) fn quorum(&self) -> usize {
        self.votes.quorum()
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.votes.expire(now);
    }

    /// Follows the measurements. A large deviation is followed once it has lasted, a small one slowly:
    /// it is mostly load that daemons have not observed, and that all of them would avoid at once.
    fn update(&mut self, now: Instant) -> Option<()> {
        let [log] = self.votes.quantiles(SPEED_QUANTILE)?;
        let begun = *self.begun.get_or_insert(now);
        let elapsed =
            self.updated.map_or(Duration::ZERO, |updated| now.saturating_duration_since(updated));
        self.updated = Some(now);
        let deviation = log - self.log;
        if deviation.abs() <= LARGE_DEVIATION {
            self.deviating_since = None;
        }
        self.log = if now.saturating_duration_since(begun) < LASTING {
            log
        } else if deviation.abs() <= LARGE_DEVIATION {
            let gain = 1.0 - 0.5_f64.powf(elapsed.div_duration_f64(ESTIMATE_HALF_LIFE));
            self.log + deviation * gain
        } else {
            let since = *self.deviating_since.get_or_insert(now);
            if now.saturating_duration_since(since) < LASTING { self.log } else { log }
        };
        Some(())
    }

    /// The slowness, if enough daemons have measured it.
    ///
    /// Differences that queues cause among equal backend servers don't count. The slowness decreases
    /// while nobody measures: a backend server that all daemons avoid as slow would otherwise never
    /// be found to have recovered.
    pub(super) fn slowness(&mut self, now: Instant) -> Option<f64> {
        self.update(now)?;
        let newest = self.votes.votes.iter().map(|vote| vote.at).max()?;
        let unmeasured = now.saturating_duration_since(newest).saturating_sub(NEW_FOR);
        let known = 0.5_f64.powf(unmeasured.div_duration_f64(UNMEASURED_HALF_LIFE));
        let (least, most) = INSIGNIFICANT_LOG;
        let significance = ((self.log.abs() - least) / (most - least)).clamp(0.0, 1.0);
        Some((self.log * significance * known).exp())
    }
}

/// The weighted quantile of values with their weights; 0 without any.
fn quantile(values: impl Iterator<Item = (f64, f64)>, quantile: f64) -> f64 {
    let mut values: Vec<(f64, f64)> = values.collect();
    values.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
    let limit = values.iter().map(|(_, weight)| weight).sum::<f64>() * quantile;
    let mut below = 0.0;
    for (index, &(value, weight)) in values.iter().enumerate() {
        below += weight;
        if below > limit {
            return value;
        }
        if let Some(&(next, _)) = values.get(index + 1).filter(|_| below == limit) {
            return f64::midpoint(value, next);
        }
    }
    values.last().map_or(0.0, |&(value, _)| value)
}

/// This daemon's recent measurements of one backend server, as it reports them.
#[derive(Debug, Clone, Copy)]
pub(super) struct Recent {
    pub(super) log: f64,
    pub(super) at: Instant,
}

impl Recent {
    /// Adds a measurement. The mean of several that follow each other varies less than the last.
    pub(super) fn add(previous: Option<Self>, log: f64, now: Instant) -> Self {
        let Some(previous) = previous else { return Self { log, at: now } };
        let age = now.saturating_duration_since(previous.at);
        let kept = 0.5 * 0.5_f64.powf(age.div_duration_f64(REPORT_HALF_LIFE));
        Self { log: previous.log * kept + log * (1.0 - kept), at: now }
    }

    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }
}

/// A low quantile of the measurements of all backend servers of a pool.
#[derive(Debug, Clone, Copy, Default)]
struct LowLevel {
    log: f64,
    measurements: u32,
}

impl LowLevel {
    fn record(&mut self, log: f64) {
        self.measurements = self.measurements.saturating_add(1);
        if self.measurements == 1 {
            self.log = log;
            return;
        }
        let gain = (1.0 / f64::from(self.measurements)).max(MIN_LOW_LEVEL_GAIN);
        let step = gain * (log - self.log).clamp(-MAX_LEVEL_STEP, MAX_LEVEL_STEP);
        let weight = if step > 0.0 { SPEED_QUANTILE } else { 1.0 - SPEED_QUANTILE };
        self.log += 2.0 * weight * step;
    }
}

/// The model of one pool.
#[derive(Debug)]
pub(super) struct PoolModel {
    /// The hash of the pool's name.
    pub(super) hash: u32,
    /// The model that predictions use.
    pub(super) merged: Model,
    /// The model from this daemon's own measurements.
    own: Model,
    measured_at: Option<Instant>,
    /// The logarithm by which measurements of all daemons exceed predictions at present, mostly
    /// because of requests that daemons have not observed. It is no property of a backend server.
    level: f64,
    level_measurements: u32,
    /// The same for [`SPEED_QUANTILE`] instead of the median, for each kind.
    low_levels: [LowLevel; KINDS],
    votes: Votes<{ Model::PARAMETERS }>,
}

impl PoolModel {
    pub(super) fn new(pool: &str, initial: Model) -> Self {
        Self {
            hash: name_hash(pool),
            merged: initial,
            own: initial,
            measured_at: None,
            level: 0.0,
            level_measurements: 0,
            low_levels: [LowLevel::default(); KINDS],
            votes: Votes::default(),
        }
    }

    /// The model for predictions: the merged one at the present level. Alone, a daemon uses its own.
    pub(super) fn present(&self) -> Model {
        self.merged.slowed(self.present_level().exp())
    }

    /// The level that [`Self::present`] includes.
    pub(super) fn present_level(&self) -> f64 {
        let (least, most) = INSIGNIFICANT_LEVEL;
        let significance = ((self.level.abs() - least) / (most - least)).clamp(0.0, 1.0);
        if self.votes.quorum() > 0 { self.level * significance } else { 0.0 }
    }

    /// By how much the logarithm of a measurement exceeds the low level of the pool.
    pub(super) fn excess(&self, kind: usize, log: f64) -> f64 {
        log - self.low_levels[kind].log
    }

    /// Adds the logarithm of a measurement of any daemon to the levels.
    pub(super) fn record_level(&mut self, kind: usize, log: f64) {
        self.low_levels[kind].record(log);
        if kind == FIRST_EVENT {
            self.level_measurements = self.level_measurements.saturating_add(1);
            let gain = (1.0 / f64::from(self.level_measurements)).max(MIN_LEVEL_GAIN);
            self.level += gain * (log - self.level).clamp(-MAX_LEVEL_STEP, MAX_LEVEL_STEP);
        }
    }

    /// Corrects the daemon's own model, and merges it with those of the others. `correct` gets the
    /// own model and the merged one. Returns the merged model before and after.
    pub(super) fn record(
        &mut self,
        now: Instant,
        correct: impl FnOnce(&mut Model, &Model),
    ) -> (Model, Model) {
        if self.votes.quorum() > 0 && self.measured_at.is_none() {
            self.own = self.merged.with_measurements(ADOPTED_MEASUREMENTS);
        }
        let before = self.merged;
        correct(&mut self.own, &before);
        self.measured_at = Some(now);
        self.votes.record(None, self.own.logs(), now);
        self.merge();
        (before, self.merged)
    }

    /// Records the model of a peer, as the parameters of [`Model::parameters`].
    pub(super) fn record_peer(
        &mut self,
        peer: IpAddr,
        parameters: [f64; Model::PARAMETERS],
        now: Instant,
    ) {
        let Some(model) = Model::from_parameters(parameters) else { return };
        if self.votes.record(Some(peer), model.logs(), now) {
            self.merge();
        }
    }

    /// The parameters of the daemon's own model, if it has been measured recently.
    pub(super) fn report(&self, now: Instant) -> Option<[f64; Model::PARAMETERS]> {
        let age = now.saturating_duration_since(self.measured_at?);
        (age <= NEW_FOR).then(|| self.own.parameters())
    }

    pub(super) fn expire(&mut self, now: Instant) {
        if self.votes.expire(now) {
            self.merge();
        }
    }

    fn merge(&mut self) {
        self.merged = match self.votes.quantiles(0.5) {
            Some(logs) => Model::from_logs(logs),
            None if self.measured_at.is_some() => self.own,
            None => self.merged,
        };
    }
}

/// The hash of a pool's name, the same in all daemons.
fn name_hash(name: &str) -> u32 {
    // FNV-1a, as for the names of backend servers.
    name.bytes()
        .fold(0x811c_9dc5_u32, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
