//! Which requests begin while capacity is short, and when refused callers return.
//!
//! For bursts above what the engines of a pool can serve. Capacity is that of a class, the requests
//! of one urgency to one pool: more urgent requests begin while less urgent ones are refused, so
//! shares never come before urgency. All state is about the last two seconds.

pub mod shares;
pub mod turns;

use std::time::{Duration, Instant};

use self::{shares::Shares, turns::Turns};
use super::demand::Demand;

/// How long new callers wait for returning ones after one of these was refused.
const RETURN_HOLD: Duration = Duration::from_millis(500);
/// The fraction of its target above which a predicted first event may be late. In bursts one first
/// event in ten takes 2.7 times as long as predicted, as views are stale.
const RISK_RATIO: f64 = 1.0 / 2.7;

/// The fraction of its target within which a request beyond its workspace's share must be predicted
/// to be served. Half of [`RISK_RATIO`], as other daemons lend the same capacity at the same time.
const LENDING_RATIO: f64 = RISK_RATIO / 2.0;

/// What a daemon knows about the shortage of one class.
#[derive(Debug, Default)]
pub struct Admission {
    /// The turns of refused callers.
    pub turns: Turns,
    /// The shares of workspaces.
    pub shares: Shares,
    /// When a returning request was last refused for lack of capacity.
    returning_refused_at: Option<Instant>,
}

/// Why a request must not begin although a backend server could run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Its workspace has had its share.
    Share,
    /// Requests that return go first.
    Returning,
}

/// A request as admission counts it.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// The engine time that it takes, in ms.
    pub work: f64,
    /// The predicted time to its first event.
    pub predicted: Duration,
    /// A random number from 0 to 1.
    pub spread: f64,
}

impl Admission {
    /// Whether a request may begin that a backend server could run.
    pub fn check(&mut self, demand: &Demand, request: Request, now: Instant) -> Option<Refusal> {
        let Request { work, predicted, spread } = request;
        let is_risky = is_risky(demand, predicted);
        if is_risky {
            self.shares.record_shortage(now);
        }
        let within_share = self.shares.offer(demand.workspace(), work, spread, now);
        if demand.has_begun() || !self.shares.is_short(now) {
            return None;
        }
        let may_borrow =
            self.shares.may_lend(now) && predicted <= demand.target.mul_f64(LENDING_RATIO);
        if !within_share && !may_borrow {
            return Some(Refusal::Share);
        }
        let returning_wait =
            self.returning_refused_at.is_some_and(|at| now.duration_since(at) <= RETURN_HOLD);
        let is_late = predicted > demand.target;
        (is_late && returning_wait && !demand.is_returning).then_some(Refusal::Returning)
    }

    /// Records that a request was refused because no backend server could serve it in time.
    pub fn record_overload(&mut self, demand: &Demand, request: Request, now: Instant) {
        if self.shares.offer(demand.workspace(), request.work, request.spread, now) {
            self.shares.record_refusal(now);
        } else {
            self.shares.record_shortage(now);
        }
        if demand.is_returning {
            self.returning_refused_at = Some(now);
        }
    }

    /// Records that a request begins.
    pub fn record_start(&mut self, demand: &Demand, request: Request, now: Instant) {
        self.turns.record_start(now);
        let is_risky = is_risky(demand, request.predicted);
        self.shares.record_start(demand.workspace(), request.work, is_risky, now);
    }
}

/// Whether a first event with this prediction may be late.
fn is_risky(demand: &Demand, predicted: Duration) -> bool {
    predicted > demand.target.mul_f64(RISK_RATIO)
}
