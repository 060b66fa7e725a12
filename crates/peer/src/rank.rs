//! Rendezvous hashing: which host is first for a key, the same on every daemon.

use hyssop_document::{digest::Digest, group::Group, name};
use serde::{Deserialize, Serialize};

/// What hosts are ranked for: a group, or the coordinator of orders.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{_0:016x}")]
pub struct Key(pub u64);

impl Key {
    /// The key of a group.
    pub fn group(group: &Group) -> Self {
        Self(Digest::of(group.to_string().as_bytes()).short())
    }

    /// The key of the host that decides between racing orders.
    pub fn coordinator() -> Self {
        Self(Digest::of(b"coordinator of orders").short())
    }

    /// The key of the hosts that watch the platform.
    pub fn reader() -> Self {
        Self(Digest::of(b"readers of the platform").short())
    }
}

/// The weight of a host for a key. The highest weight is first.
pub fn weight(key: Key, host: &name::Host) -> u64 {
    mix(key.0 ^ mix(Digest::of(host.as_str().as_bytes()).short()))
}

/// The first of `hosts` for `key`.
pub fn first<'a>(
    key: Key,
    hosts: impl IntoIterator<Item = &'a name::Host>,
) -> Option<&'a name::Host> {
    hosts.into_iter().max_by_key(|host| (weight(key, host), *host))
}

/// Spreads the bits of a number (the finalizer of splitmix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
