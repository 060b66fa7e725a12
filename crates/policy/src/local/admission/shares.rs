//! The shares that workspaces have of a class's capacity while it is short.
//!
//! For one workspace that sends several times its usual load. Each daemon knows what all daemons
//! were asked for and what they started in the last two seconds, and divides the work started among
//! the workspaces: each gets what it asks for, up to a level per weight that is the same for all.
//! A workspace above that level has a fraction of its requests served at every daemon. The fraction
//! applies to the daemon's own requests, so that stale reports don't make daemons start the same
//! share twice.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use hyssop_document::collections::Map;
use serde::{Deserialize, Serialize};

use crate::local::{demand::Workspace, window::Sum};

/// The time over which work is summed up.
const WINDOW: Duration = Duration::from_secs(2);
/// How long a peer's report counts, and how long capacity is short after the last sign of it.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// How long a workspace above its share gets no unused capacity after a request of one below its
/// share was refused for lack of capacity. As long as a shortage lasts without further signs.
const HOLD: Duration = REPORT_TTL;
/// How long the fractions are kept, so that busy daemons don't compute them for each request.
const FRACTIONS_TTL: Duration = Duration::from_millis(50);

/// What one workspace asked a daemon for in the last two seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The hash of the workspace's name.
    pub workspace: u32,
    /// The workspace's weight.
    pub weight: u32,
    /// The work in ms of an engine's time.
    pub offered_ms: u32,
}

/// What a daemon tells its peers about a class whose capacity is short.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The hash of the pool's name and the class's urgency.
    pub class: u32,
    /// Whether the sender itself has seen signs of the shortage.
    pub is_short: bool,
    /// The work that the sender started in the last two seconds, in ms of an engine's time.
    pub started_ms: u32,
    /// The part of it that was predicted well in time.
    pub in_time_ms: u32,
    /// The work that other workspaces than the listed ones asked for.
    pub others_ms: u32,
    /// The workspaces that asked the sender for the most work.
    pub largest: Vec<Usage>,
}

/// The requests of one workspace at this daemon.
#[derive(Debug)]
struct Account {
    weight: u32,
    offered: Sum,
    /// The work that the workspace may still start: its fraction of what it asked for, less what it
    /// started. Begins at a random point, so that daemons which get few of its requests don't all
    /// refuse the first.
    credit: f64,
}

/// The shares of one class.
#[derive(Debug)]
pub struct Shares {
    accounts: Map<u32, Account>,
    started: Sum,
    /// The part of [`Self::started`] that was predicted well in time.
    in_time: Sum,
    reports: Map<IpAddr, (Report, Instant)>,
    short_at: Option<Instant>,
    held_at: Option<Instant>,
    /// The fraction served of each workspace above its share.
    fractions: Map<u32, f64>,
    computed_at: Option<Instant>,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            accounts: Map::default(),
            started: Sum::new(WINDOW),
            in_time: Sum::new(WINDOW),
            reports: Map::default(),
            short_at: None,
            held_at: None,
            fractions: Map::default(),
            computed_at: None,
        }
    }
}

impl Shares {
    /// Records that a workspace asks for work. `spread` is a random number from 0 to 1. Returns
    /// whether the workspace is within its share.
    pub fn offer(&mut self, workspace: Workspace, work: f64, spread: f64, now: Instant) -> bool {
        let account = self.accounts.entry(workspace.hash).or_insert_with(|| Account {
            weight: 1,
            offered: Sum::new(WINDOW),
            credit: -work * spread,
        });
        account.weight = workspace.weight.max(1);
        account.offered.add(work, now);
        self.update_fractions(now);
        let (fraction, may_lend) = (self.fraction(workspace), self.may_lend(now));
        let Some(account) = self.accounts.get_mut(&workspace.hash) else { return true };
        if fraction >= 1.0 {
            account.credit = account.credit.max(0.0);
            return true;
        }
        // Credit is limited, so that a workspace which was idle or refused starts no burst.
        account.credit = (account.credit + fraction * work).min(work);
        // Usually a request of any size may begin with the least credit, so that large ones are not
        // passed by small ones.
        if may_lend { account.credit > 0.0 } else { account.credit >= work }
    }

    /// Records that work of a workspace begins. `is_risky` means that it may be late.
    pub fn record_start(&mut self, workspace: Workspace, work: f64, is_risky: bool, now: Instant) {
        self.started.add(work, now);
        if !is_risky {
            self.in_time.add(work, now);
        }
        let is_limited = self.fractions.contains_key(&workspace.hash);
        if let Some(account) = self.accounts.get_mut(&workspace.hash).filter(|_| is_limited) {
            // Unused capacity that was lent is not charged.
            if account.credit > 0.0 {
                account.credit -= work;
            }
        }
    }

    /// Records a sign that capacity is short: a request was refused or is predicted late.
    pub fn record_shortage(&mut self, now: Instant) {
        self.short_at = Some(now);
    }

    /// Records that a request within its workspace's share was refused for lack of capacity.
    pub fn record_refusal(&mut self, now: Instant) {
        self.short_at = Some(now);
        self.held_at = Some(now);
        self.computed_at = None;
        // Credit from unused capacity ends with it.
        self.accounts.values_mut().for_each(|account| account.credit = account.credit.min(0.0));
    }

    /// Whether unused capacity may be lent: no request within its share was refused recently.
    pub fn may_lend(&self, now: Instant) -> bool {
        self.held_at.is_none_or(|at| now.duration_since(at) > HOLD)
    }

    /// Whether capacity is short, by what this daemon and its peers saw.
    pub fn is_short(&self, now: Instant) -> bool {
        self.is_short_here(now) || self.recent_reports(now).any(|report| report.is_short)
    }

    /// The fraction of the requests of a workspace that is served while capacity is short.
    pub fn fraction(&self, workspace: Workspace) -> f64 {
        self.fractions.get(&workspace.hash).copied().unwrap_or(1.0)
    }

    /// Records the report of a peer.
    pub fn record_report(&mut self, peer: IpAddr, report: Report, now: Instant) {
        self.reports.insert(peer, (report, now));
    }

    /// What peers are told, with at most `count` workspaces, or nothing without a shortage.
    pub fn report(&mut self, class: u32, count: usize, now: Instant) -> Option<Report> {
        if !self.is_short(now) {
            return None;
        }
        let usages = self.accounts.iter_mut().map(|(&workspace, account)| Usage {
            workspace,
            weight: account.weight,
            offered_ms: account.offered.total(now) as u32,
        });
        let mut largest: Vec<Usage> = usages.filter(|usage| usage.offered_ms > 0).collect();
        largest.sort_unstable_by_key(|usage| {
            (std::cmp::Reverse(usage.offered_ms / usage.weight), usage.workspace)
        });
        let others = largest.split_off(count.min(largest.len()));
        Some(Report {
            class,
            is_short: self.is_short_here(now),
            started_ms: self.started.total(now) as u32,
            in_time_ms: self.in_time.total(now) as u32,
            others_ms: others.iter().map(|usage| usage.offered_ms).fold(0, u32::saturating_add),
            largest,
        })
    }

    fn is_short_here(&self, now: Instant) -> bool {
        self.short_at.is_some_and(|at| now.duration_since(at) <= REPORT_TTL)
    }

    fn recent_reports(&self, now: Instant) -> impl Iterator<Item = &Report> {
        let reports = self.reports.values();
        let recent = reports.filter(move |(_, at)| now.duration_since(*at) <= REPORT_TTL);
        recent.map(|(report, _)| report)
    }

    fn update_fractions(&mut self, now: Instant) {
        if self.computed_at.is_some_and(|at| now.duration_since(at) < FRACTIONS_TTL) {
            return;
        }
        self.computed_at = Some(now);
        self.reports.retain(|_, (_, at)| now.duration_since(*at) <= REPORT_TTL);
        self.accounts.retain(|_, account| account.offered.total(now) > 0.0);
        let mut started = self.started.total(now);
        let mut in_time = self.in_time.total(now);
        let mut unlisted = 0.0;
        let mut offered: Map<u32, (f64, f64)> = Map::default();
        for (&workspace, account) in &mut self.accounts {
            let work = account.offered.total(now);
            offered.insert(workspace, (work, f64::from(account.weight)));
        }
        for (report, _) in self.reports.values() {
            started += f64::from(report.started_ms);
            in_time += f64::from(report.in_time_ms);
            unlisted += f64::from(report.others_ms);
            for usage in &report.largest {
                let weight = f64::from(usage.weight.max(1));
                offered.entry(usage.workspace).or_insert((0.0, weight)).0 +=
                    f64::from(usage.offered_ms);
            }
        }
        let weight: f64 = offered.values().map(|(_, weight)| weight).sum();
        let equal_share = started / weight.max(1.0);
        let level = match self.may_lend(now) {
            // Nobody would get what a single workspace is refused.
            _ if offered.len() <= 1 && unlisted == 0.0 => f64::INFINITY,
            true => level(offered.values().copied().collect(), in_time - unlisted).max(equal_share),
            false => equal_share,
        };
        let fractions = offered.iter().map(|(&hash, (work, weight))| (hash, level * weight / work));
        self.fractions = fractions.filter(|(_, fraction)| *fraction < 1.0).collect();
    }
}

/// The work per weight up to which workspaces are served, if `left` is divided among them. Each is
/// given by the work that it asks for and by its weight.
fn level(mut offered: Vec<(f64, f64)>, mut left: f64) -> f64 {
    let mut weight: f64 = offered.iter().map(|(_, weight)| weight).sum();
    offered.sort_by(|(work, weight), (other, other_weight)| {
        (work / weight).total_cmp(&(other / other_weight))
    });
    for (work, own_weight) in offered {
        if work * weight > left * own_weight {
            return left / weight;
        }
        left -= work;
        weight -= own_weight;
    }
    f64::INFINITY
}
