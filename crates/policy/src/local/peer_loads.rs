//! The load that other daemons have at backend servers, by their last heartbeats.
//!
//! For many daemons that place requests at the same backend servers. Each heartbeat lists the
//! sender's complete load, so a request that has ended counts for one heartbeat at most. Sums per
//! backend server are kept up to date, so that the cost of a decision does not grow with the number
//! of daemons.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use hyssop_document::collections::Map;

use super::server::Load;

/// How long a peer's loads count after its last heartbeat.
const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// The loads of all peers, and their sums by the hash of the backend server's name.
#[derive(Debug, Default)]
pub struct PeerLoads {
    reports: Map<IpAddr, Report>,
    sums: Map<u32, Load>,
}

#[derive(Debug)]
struct Report {
    loads: Vec<(u32, Load)>,
    received: Instant,
}

impl PeerLoads {
    /// Replaces the loads of a peer.
    pub fn record(&mut self, peer: IpAddr, loads: Vec<(u32, Load)>, now: Instant) {
        self.remove(peer);
        for &(server, load) in &loads {
            let sum = self.sums.entry(server).or_default();
            *sum = sum.wrapping_add(load);
        }
        self.reports.insert(peer, Report { loads, received: now });
    }

    /// Removes the loads of peers without a recent heartbeat.
    pub fn expire(&mut self, now: Instant) {
        let expired =
            self.reports.iter().filter(|(_, r)| now.duration_since(r.received) > REPORT_TTL);
        let expired: Vec<IpAddr> = expired.map(|(&peer, _)| peer).collect();
        for peer in expired {
            self.remove(peer);
        }
    }

    /// The load of all peers at a backend server.
    pub fn load(&self, server: u32) -> Load {
        self.sums.get(&server).copied().unwrap_or_default()
    }

    fn remove(&mut self, peer: IpAddr) {
        let Some(report) = self.reports.remove(&peer) else { return };
        for (server, load) in report.loads {
            let Some(sum) = self.sums.get_mut(&server) else { continue };
            *sum = sum.wrapping_sub(load);
            if *sum == Load::default() {
                self.sums.remove(&server);
            }
        }
    }
}
