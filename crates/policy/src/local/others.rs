//! What other daemons have at backend servers, by their last beats.
//!
//! Answers the load pattern of many daemons that place requests at the same backend servers: each
//! beat tells all that its sender has there, so what ended elsewhere counts no longer than one beat,
//! and the sums are kept, so that a decision does not grow with the number of daemons.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use hyssop_document::collections::Map;

use super::standing::Load;

/// How long a peer's loads count after its last beat.
const KEPT: Duration = Duration::from_millis(1_500);

/// The loads of all peers, and their sums by the hash of the backend server.
#[derive(Debug, Default)]
pub struct Others {
    peers: Map<IpAddr, Told>,
    sums: Map<u32, Load>,
}

#[derive(Debug)]
struct Told {
    loads: Vec<(u32, Load)>,
    heard: Instant,
}

impl Others {
    /// Replaces what a peer has.
    pub fn hear(&mut self, peer: IpAddr, loads: Vec<(u32, Load)>, now: Instant) {
        self.forget(peer);
        for &(server, load) in &loads {
            let sum = self.sums.entry(server).or_default();
            *sum = sum.plus(load);
        }
        self.peers.insert(peer, Told { loads, heard: now });
    }

    /// Forgets peers that were not heard of lately.
    pub fn expire(&mut self, now: Instant) {
        let silent = self.peers.iter().filter(|(_, told)| now.duration_since(told.heard) > KEPT);
        let silent: Vec<IpAddr> = silent.map(|(&peer, _)| peer).collect();
        for peer in silent {
            self.forget(peer);
        }
    }

    /// What all peers have at a backend server.
    pub fn load(&self, server: u32) -> Load {
        self.sums.get(&server).copied().unwrap_or_default()
    }

    fn forget(&mut self, peer: IpAddr) {
        let Some(told) = self.peers.remove(&peer) else { return };
        for (server, load) in told.loads {
            let Some(sum) = self.sums.get_mut(&server) else { continue };
            *sum = sum.minus(load);
            if *sum == Load::default() {
                self.sums.remove(&server);
            }
        }
    }
}
