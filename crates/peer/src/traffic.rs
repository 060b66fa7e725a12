//! Counters of the messages that a daemon exchanges with its peers.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Counters since the start of a daemon.
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

/// The traffic between a daemon and its peers since its start, without UDP and TCP headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// The number of heartbeats sent.
    pub datagrams_sent: u64,
    /// The number of datagrams received, dropped ones included.
    pub datagrams_received: u64,
    /// The number of datagrams dropped because of an unknown source address or a decoding error.
    pub datagrams_dropped: u64,
    /// The size of the heartbeats sent.
    pub udp_sent_bytes: u64,
    /// The size of the datagrams received.
    pub udp_received_bytes: u64,
    /// The number of messages sent over TCP: calls and responses.
    pub messages_sent: u64,
    /// The number of messages received over TCP: calls and responses.
    pub messages_received: u64,
    /// The size of the messages sent over TCP, length prefixes included.
    pub tcp_sent_bytes: u64,
    /// The size of the messages received over TCP, length prefixes included.
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

    /// Reads all counters, one after the other.
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
