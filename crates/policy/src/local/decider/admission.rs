//! Admission while capacity is short.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use super::{Decider, Decision, MAX_RETRY_AFTER, MIN_RETRY_AFTER, Placement, Reason};
use crate::local::{
    admission::{
        Admission, Refusal, Request,
        shares::{Report, Usage},
        turns::Caller,
    },
    demand::Demand,
    latency,
};

/// The number of classes in one heartbeat, and of workspaces in all of them. With these numbers the
/// reports take some 60 bytes.
const MAX_REPORTS: usize = 2;
const MAX_USAGES: usize = 4;

impl Decider {
    /// Refuses a request that a backend server could serve, if others go first.
    pub(super) fn refusal(
        &mut self,
        demand: &Demand,
        placement: &Placement,
        now: Instant,
    ) -> Option<Decision> {
        if !self.is_admitted_by_share(demand) {
            return None;
        }
        let predicted = placement.predicted;
        let work = self.work(demand, placement.uncached_tokens);
        let request = Request { work, predicted, spread: self.draw() };
        let reason = match self.admission(demand).check(demand, request, now)? {
            Refusal::Share => Reason::Share,
            Refusal::Returning => Reason::Overload,
        };
        let retry_after = self.turn(demand, Duration::ZERO, now);
        Some(Decision::Refuse { reason, retry_after, predicted: Some(predicted) })
    }

    /// The time after which the caller of a request that is refused for lack of capacity should
    /// return. `excess` is the time by which the best engine misses the request's bounds.
    pub(super) fn return_time(
        &mut self,
        demand: &Demand,
        excess: Duration,
        now: Instant,
    ) -> Duration {
        if !self.is_admitted_by_share(demand) {
            let retry_after = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            return retry_after.mul_f64(self.retry_jitter());
        }
        let work = self.work(demand, demand.unshared_tokens());
        let request = Request { work, predicted: Duration::MAX, spread: self.draw() };
        self.admission(demand).record_overload(demand, request, now);
        self.turn(demand, excess, now)
    }

    /// Records that a request begins at the backend server of a placement.
    pub(super) fn record_start(&mut self, placement: &Placement, demand: &Demand, now: Instant) {
        if self.is_admitted_by_share(demand) {
            let work = self.work(demand, placement.uncached_tokens);
            let request = Request { work, predicted: placement.predicted, spread: 0.0 };
            self.admission(demand).record_start(demand, request, now);
        }
    }

    /// What peers are told about classes whose capacity is short.
    pub fn shortages(&mut self, now: Instant) -> Vec<Report> {
        let reports = self.admissions.iter_mut();
        let reports = reports
            .filter_map(|(&class, admission)| admission.shares.report(class, MAX_USAGES, now));
        let mut reports: Vec<Report> = reports.collect();
        reports.sort_by_key(|report| (!report.is_short, std::cmp::Reverse(report.started_ms)));
        reports.truncate(MAX_REPORTS);
        let count = MAX_USAGES / reports.len().max(1);
        for report in &mut reports {
            let others = report.largest.split_off(count.min(report.largest.len()));
            let others = others.iter().map(|usage: &Usage| usage.offered_ms);
            report.others_ms = others.fold(report.others_ms, u32::saturating_add);
        }
        reports
    }

    /// Records what a peer told. Classes of which this daemon has had no request are left out.
    pub fn record_shortages_of_peer(&mut self, peer: IpAddr, reports: &[Report], now: Instant) {
        for report in reports {
            if let Some(admission) = self.admissions.get_mut(&report.class) {
                admission.shares.record_report(peer, report.clone(), now);
            }
        }
    }

    /// The fraction of the requests of a workspace that its share allows now.
    pub fn share_ratio(&mut self, demand: &Demand) -> f64 {
        self.admission(demand).shares.fraction(demand.workspace())
    }

    fn is_admitted_by_share(&self, demand: &Demand) -> bool {
        self.settings.fair_shares && demand.prompt_tokens > 0
    }

    fn turn(&mut self, demand: &Demand, excess: Duration, now: Instant) -> Duration {
        let left = demand.deadline.saturating_duration_since(now);
        let caller = Caller { left, is_returning: demand.is_returning };
        let earliest = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).min(caller.longest_wait());
        let spread = self.draw();
        let turns = &mut self.admission(demand).turns;
        turns.book(&caller, earliest, spread, now).min(MAX_RETRY_AFTER)
    }

    /// The engine time of a request in ms: its prefill, and its part of the batches that decode it.
    fn work(&mut self, demand: &Demand, uncached_tokens: u32) -> f64 {
        let prefill = self.model(demand).prefill_time(f64::from(uncached_tokens));
        let decode = latency::decode_time_in_batch(f64::from(demand.output_tokens));
        (prefill + decode).as_secs_f64() * 1e3
    }

    fn admission(&mut self, demand: &Demand) -> &mut Admission {
        self.admissions.entry(demand.class()).or_default()
    }
}
