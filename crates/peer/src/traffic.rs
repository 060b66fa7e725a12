//! Counts of what a daemon exchanges with its peers.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Counters that grow from the start of a daemon.
#[derive(Debug, Default)]
pub struct Meter {
    datagrams_sent: AtomicU64,
    datagrams_received: AtomicU64,
    datagrams_dropped: AtomicU64,
    udp_sent_bytes: AtomicU64,
    udp_received_bytes: AtomicU64,
    messages_sent: AtomicU64,
    messages_received: AtomicU64,
    tcp_sent_bytes: AtomicU64,
    tcp_received_bytes: AtomicU64,
}

/// What a daemon has exchanged with its peers since its start, without the headers of UDP and TCP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// The heartbeats sent.
    pub datagrams_sent: u64,
    /// The datagrams received, with those that were dropped.
    pub datagrams_received: u64,
    /// The datagrams dropped: from an unknown address, or malformed.
    pub datagrams_dropped: u64,
    /// The bytes of the heartbeats sent.
    pub udp_sent_bytes: u64,
    /// The bytes of the datagrams received.
    pub udp_received_bytes: u64,
    /// The messages sent over TCP: calls and answers.
    pub messages_sent: u64,
    /// The messages received over TCP: calls and answers.
    pub messages_received: u64,
    /// The bytes of the messages sent.
    pub tcp_sent_bytes: u64,
    /// The bytes of the messages received.
    pub tcp_received_bytes: u64,
}

fn add(counter: &AtomicU64, number: usize) {
    counter.fetch_add(number as u64, Ordering::Relaxed);
}

impl Meter {
    pub(crate) fn datagram_sent(&self, bytes: usize) {
        add(&self.datagrams_sent, 1);
        add(&self.udp_sent_bytes, bytes);
    }

    pub(crate) fn datagram_received(&self, bytes: usize) {
        add(&self.datagrams_received, 1);
        add(&self.udp_received_bytes, bytes);
    }

    pub(crate) fn datagram_dropped(&self) {
        add(&self.datagrams_dropped, 1);
    }

    pub(crate) fn message_sent(&self, bytes: usize) {
        add(&self.messages_sent, 1);
        add(&self.tcp_sent_bytes, bytes);
    }

    pub(crate) fn message_received(&self, bytes: usize) {
        add(&self.messages_received, 1);
        add(&self.tcp_received_bytes, bytes);
    }

    /// The counts now.
    pub fn read(&self) -> Traffic {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Traffic {
            datagrams_sent: get(&self.datagrams_sent),
            datagrams_received: get(&self.datagrams_received),
            datagrams_dropped: get(&self.datagrams_dropped),
            udp_sent_bytes: get(&self.udp_sent_bytes),
            udp_received_bytes: get(&self.udp_received_bytes),
            messages_sent: get(&self.messages_sent),
            messages_received: get(&self.messages_received),
            tcp_sent_bytes: get(&self.tcp_sent_bytes),
            tcp_received_bytes: get(&self.tcp_received_bytes),
        }
    }
}
