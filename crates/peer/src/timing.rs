//! Intervals and bounds of the protocol between daemons.

use std::time::Duration;

use hyssop_policy::permit::USE_TIMEOUT;

/// The largest number of hosts in a cell. Lists beyond it are rejected.
pub const MAX_CELL_HOSTS: usize = 64;
/// The largest number of groups of a cell.
pub const MAX_CELL_GROUPS: usize = 256;

/// The time after which a backend server's load report shows a request that was sent to it.
const REPORT_LAG: Duration = Duration::from_millis(250);

/// The intervals that safety and speed of hand-over depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The time between two heartbeats.
    pub heartbeat: Duration,
    /// The time without a heartbeat after which a peer is no longer counted as alive.
    pub alive: Duration,
    /// The time that a vote lasts from the heartbeat that it answers.
    pub lease: Duration,
    /// The part of the lease by which a scheduler stops counting early, for clocks of unequal speed.
    pub drift: Duration,
    /// The time after which every live daemon has heard of a published list of hosts.
    pub guard: Duration,
    /// The time that must pass between a vote and the load reports that make it count.
    pub settle: Duration,
    /// The time between two load reports of a backend server.
    pub load: Duration,
    /// The longest wait for a load report.
    pub load_timeout: Duration,
    /// The time over which releases and progress are collected into one message.
    pub batch: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(200),
            alive: Duration::from_millis(1000),
            lease: Duration::from_millis(1500),
            drift: Duration::from_millis(15),
            guard: Duration::from_secs(10),
            settle: USE_TIMEOUT + REPORT_LAG,
            load: Duration::from_millis(250),
            load_timeout: Duration::from_millis(500),
            batch: Duration::from_millis(5),
        }
    }
}
