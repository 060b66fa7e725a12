//! Measures the speed of backend servers, and exchanges measurements with peers.
//!
//! For pools whose backend servers differ in speed, see [`crate::local::speed`].

use std::{
    cmp::Reverse,
    net::IpAddr,
    time::{Duration, Instant},
};

use hyssop_document::name::Backend;

use super::{Decider, End, Placement, REJECTION_BACKOFF};
use crate::local::{
    affinity, brittle,
    demand::Demand,
    latency::{self, Model},
    reservation,
    server::{Gaps, Request, SendId, Server, State as ServerState},
    speed::{self, PoolModel, Report},
};

/// The bounds on one slowness measurement, so that an outlier has little influence.
const MIN_SLOWNESS: f64 = 0.3;
const MAX_SLOWNESS: f64 = 10.0;
/// The lower limit of the predicted time that a measurement is divided by.
const MIN_BASELINE: Duration = Duration::from_millis(5);
/// The maximum number of measurements in one heartbeat.
const MAX_SPEED_REPORTS: usize = 8;
/// The maximum number of models of pools in one heartbeat.
const MAX_MODEL_REPORTS: usize = 1;

/// The slowness of a backend server, as used for placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slowness {
    /// How many times longer than usual in its pool the backend server takes.
    pub factor: f64,
    /// The number of measurements behind it.
    pub measurements: usize,
}

/// The record of a request that is sent.
pub(super) fn sent_request(
    state: &ServerState,
    (model, level): (&Model, f64),
    placement: &Placement,
    demand: &Demand,
    now: Instant,
) -> Request {
    let pending = placement.load.pending_tokens.saturating_add(placement.uncached_tokens);
    let running = f64::from(placement.load.running);
    let baseline = placement.predicted.div_f64(state.slowness());
    let backlog = state.backlog(placement.load);
    let decode = model.decode_time(&backlog, f64::from(demand.output_tokens));
    Request {
        sent: now,
        overdue_at: now + placement.overdue_after,
        predicted: placement.predicted,
        baseline,
        level,
        shares: model.shares(f64::from(pending), running, baseline.max(MIN_BASELINE)),
        decode: decode.div_f64(backlog.slowness),
        uncached_tokens: placement.uncached_tokens,
        held_tokens: demand.held_tokens(),
        begun_at: None,
        gaps: Gaps::default(),
        running: placement.load.running,
        decode_heavy: reservation::is_decode_heavy(demand),
        is_repeat: demand.is_repeat,
    }
}

impl Decider {
    /// The slowness of a backend server.
    pub fn slowness(&self, server: &Backend) -> Slowness {
        self.servers.get(server).map_or(Slowness { factor: 1.0, measurements: 0 }, |state| {
            Slowness { factor: state.slowness(), measurements: state.measurements() }
        })
    }

    /// Records the first event of a request. Further calls for the same send have no effect.
    pub fn record_first_event(&mut self, server: &Backend, send_id: SendId, now: Instant) {
        let Some(state) = self.servers.get_mut(server) else { return };
        let Some(request) = state.requests.get_mut(&send_id) else { return };
        if request.has_begun() {
            return;
        }
        request.begun_at = Some(now);
        let (baseline, actual) =
            (request.baseline.max(MIN_BASELINE), now.duration_since(request.sent));
        let ratio = actual.div_duration_f64(baseline).clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        let ratio = ratio * request.level.exp();
        let shares = request.shares;
        let late_ratio = actual.div_duration_f64(request.predicted.max(MIN_BASELINE));
        self.hedges.record_response(&state.server.pool, late_ratio);
        state.record_response(actual, now);
        let Some(model) = self.models.get_mut(&state.server.pool) else { return };
        let (before, after) = model.record(now, |own, merged| {
            own.record(ratio / own.relative_to(merged, &shares), &shares);
        });
        state.record_slowness(ratio / after.relative_to(&before, &shares), model, now);
    }

    /// Records any event of a stream, or the arrival of a part of it. The gaps between events tell the
    /// speed of an engine without the queue before the first event.
    pub fn record_event(&mut self, server: &Backend, send_id: SendId, now: Instant) {
        let Some(state) = self.servers.get_mut(server) else { return };
        let Some(request) = state.requests.get_mut(&send_id) else { return };
        let Some(gap) = request.gaps.record(now).filter(|_| self.settings.shared_speeds) else {
            return;
        };
        let Some(model) = self.models.get_mut(&state.server.pool) else { return };
        let usual = speed::REFERENCE_GAP.mul_f64(latency::batch_factor(request.running));
        state.record_gap(gap.div_duration_f64(usual), model, now);
    }

    /// The model of the pool that serves a request.
    pub(super) fn model(&mut self, demand: &Demand) -> Model {
        let initial = || {
            let model = match demand.prompt_tokens {
                0 => Model::of_services(),
                _ => Model::of_engines(),
            };
            PoolModel::new(demand.pool.as_str(), model)
        };
        self.models.entry(demand.pool.clone()).or_insert_with(initial).present()
    }

    /// Creates the model of a backend server's pool, so that peers can report theirs before the
    /// first request.
    pub(super) fn add_model(&mut self, server: &Server) {
        if !self.models.contains_key(&server.pool) {
            let model = match server.cache_tokens {
                None => Model::of_services(),
                Some(_) => Model::of_engines(),
            };
            self.models.insert(server.pool.clone(), PoolModel::new(server.pool.as_str(), model));
        }
    }

    /// Records how a request ended.
    pub fn record_end(&mut self, server: &Backend, send_id: SendId, end: End, now: Instant) {
        let Some(state) = self.servers.get_mut(server) else { return };
        let request = state.requests.remove(&send_id);
        // A caller that leaves while its first event is overdue was not served: also a failure.
        let overdue = request
            .as_ref()
            .is_some_and(|request| !request.has_begun() && now > request.overdue_at);
        match end {
            End::Abandoned if overdue => state.record_failure(now),
            End::Complete => state.failures = 0,
            End::Unsent | End::Abandoned | End::Cancelled => {}
            End::Rejected if self.brittle.is_brittle(&state.server) => {
                state.avoid_until = Some(now + brittle::REJECTION_BACKOFF);
                self.brittle.record_rejection(server, now);
            }
            End::Rejected => state.avoid_until = Some(now + REJECTION_BACKOFF),
            End::Failed => state.record_failure(now),
            End::Unreachable => state.record_unreachable(now),
        }
        if let Some(request) = request.filter(|_| end == End::Complete) {
            let time = now.saturating_duration_since(request.sent);
            self.brittle.record_service_time(&state.server.pool, time);
            self.record_decode(server, &request, now);
        }
    }

    /// Corrects the decode step of a pool by a complete response. Its length in tokens is an
    /// expectation, which is right in the mean.
    fn record_decode(&mut self, server: &Backend, request: &Request, now: Instant) {
        let Some(state) = self.servers.get(server) else { return };
        let Some(begun_at) = request.begun_at else { return };
        if state.server.cache_tokens.is_none() || request.decode < MIN_BASELINE {
            return;
        }
        let actual = now.saturating_duration_since(begun_at).max(Duration::from_millis(1));
        let ratio = actual.div_duration_f64(request.decode.mul_f64(state.slowness()));
        if let Some(model) = self.models.get_mut(&state.server.pool) {
            model
                .record(now, |own, merged| own.record_decode(ratio / own.step_relative_to(merged)));
        }
    }

    /// The measurements for the next heartbeat, with the hash of each backend server: a sample of the
    /// new ones, and one older one if there is room, for peers that have just started.
    pub fn speed_reports(&mut self, now: Instant) -> Vec<(u32, Report)> {
        if !self.settings.shared_speeds {
            return Vec::new();
        }
        self.speed_reports = self.speed_reports.wrapping_add(1);
        let sample = self.speed_reports;
        let reports = self.servers.values().filter_map(|state| {
            let report = state.report(now)?;
            Some((state.server.hash, report))
        });
        let mut reports: Vec<(u32, Report)> = reports.collect();
        reports.sort_by_cached_key(|(hash, report)| {
            (report.age > speed::NEW_FOR, Reverse(affinity::weight(*hash, sample)))
        });
        let new = reports.iter().filter(|(_, report)| report.age <= speed::NEW_FOR).count();
        reports.truncate((new + 1).min(MAX_SPEED_REPORTS));
        reports
    }

    /// The models of pools for the next heartbeat, with the hash of each pool.
    pub fn model_reports(&self, now: Instant) -> Vec<(u32, [f64; Model::PARAMETERS])> {
        if !self.settings.shared_speeds {
            return Vec::new();
        }
        let sample = self.speed_reports;
        let reports =
            self.models.values().filter_map(|model| Some((model.hash, model.report(now)?)));
        let mut reports: Vec<_> = reports.collect();
        reports.sort_by_cached_key(|(hash, _)| affinity::weight(*hash, sample));
        reports.truncate(MAX_MODEL_REPORTS);
        reports
    }

    /// Records what a peer has measured.
    pub fn record_speeds_of_peer(
        &mut self,
        peer: IpAddr,
        speeds: &[(u32, Report)],
        models: &[(u32, [f64; Model::PARAMETERS])],
        now: Instant,
    ) {
        if !self.settings.shared_speeds {
            return;
        }
        for (hash, report) in speeds {
            let Some(name) = self.by_hash.get(hash) else { continue };
            let Some(state) = self.servers.get_mut(name) else { continue };
            let Some(model) = self.models.get_mut(&state.server.pool) else { continue };
            state.record_report(peer, report, model, now);
        }
        for &(hash, parameters) in models {
            if let Some(model) = self.models.values_mut().find(|model| model.hash == hash) {
                model.record_peer(peer, parameters, now);
            }
        }
    }

    /// Removes measurements that are too old.
    pub(super) fn expire_speeds(&mut self, now: Instant) {
        self.servers.values_mut().for_each(|state| state.expire_measurements(now));
        self.models.values_mut().for_each(|model| model.expire(now));
    }
}
