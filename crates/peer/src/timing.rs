//! Intervals and bounds of the protocol between daemons.

use std::time::Duration;

use hyssop_policy::permit::USE_WITHIN;

/// The largest number of hosts in a cell. Lists beyond it are rejected.
pub const MAX_CELL_HOSTS: usize = 64;
/// The largest number of groups of a cell.
pub const MAX_CELL_GROUPS: usize = 256;

/// The time after which a backend server's load report shows a request that was sent to it.
const LOAD_REPORT_LAG: Duration = Duration::from_millis(250);

/// The intervals that safety and speed of hand-over depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// The time without a heartbeat after which a peer is no longer counted as alive.
    pub alive_timeout: Duration,
    /// The time that a vote lasts from the heartbeat that it answers.
    pub lease_duration: Duration,
    /// The part of the lease by which a scheduler stops counting early, for clocks of unequal speed.
    pub drift_margin: Duration,
    /// The time after which every live daemon has heard of a published list of hosts.
    pub guard_window: Duration,
    /// The time that must pass between a vote and the load reports that make it count.
    pub settle_delay: Duration,
    /// The time between two load reports of a backend server.
    pub load_interval: Duration,
    /// The longest wait for a load report.
    pub load_timeout: Duration,
    /// The time over which releases and progress are collected into one message.
    pub batch_interval: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(200),
            alive_timeout: Duration::from_millis(1000),
            lease_duration: Duration::from_millis(1500),
            drift_margin: Duration::from_millis(15),
            guard_window: Duration::from_secs(10),
            settle_delay: USE_WITHIN + LOAD_REPORT_LAG,
            load_interval: Duration::from_millis(250),
            load_timeout: Duration::from_millis(500),
            batch_interval: Duration::from_millis(5),
        }
    }
}
