//! Time intervals and size limits of the protocol between daemons.

use std::time::Duration;

use hyssop_policy::permit::USE_TIMEOUT;

/// The limit of hosts in a cell. Longer lists are rejected.
pub const MAX_CELL_HOSTS: usize = 64;
/// The limit of groups in a cell, and so of votes in one heartbeat.
pub const MAX_CELL_GROUPS: usize = 256;

/// The time until a request sent to a backend server shows in the server's load reports.
const LOAD_REPORT_LAG: Duration = Duration::from_millis(250);

/// The intervals that determine the safety and the speed of a hand-over between schedulers.
///
/// All daemons of a cell must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The interval between two rounds of heartbeats.
    pub heartbeat_interval: Duration,
    /// The time without a heartbeat after which a peer no longer counts as alive.
    pub alive_timeout: Duration,
    /// The lifetime of a vote, counted from the scheduler's heartbeat that the vote acknowledges.
    pub lease_duration: Duration,
    /// The time by which a scheduler stops counting a vote before its lease ends, as the clocks of
    /// scheduler and voter may run at different speeds.
    pub drift_margin: Duration,
    /// The time within which every live daemon receives a newly published list of hosts.
    pub guard_window: Duration,
    /// The minimum time between the receipt of a vote and the request of the load reports that make
    /// it count. By then, requests with permits of the previous scheduler were sent to the backend
    /// servers and show in the reports.
    pub settle_delay: Duration,
    /// The interval between two load reports of a backend server.
    pub load_interval: Duration,
    /// The time limit for a load report.
    pub load_timeout: Duration,
    /// The time over which permit events are collected into one message.
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
            settle_delay: USE_TIMEOUT + LOAD_REPORT_LAG,
            load_interval: Duration::from_millis(250),
            load_timeout: Duration::from_millis(500),
            batch_interval: Duration::from_millis(5),
        }
    }
}
