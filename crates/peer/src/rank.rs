//! Rendezvous hashing: which host is first for a key, the same on every daemon.

use hyssop_document::{group::Group, name};
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
        let index = hash(group.pool.as_str().as_bytes()) ^ u64::from(group.index);
        Self(mix(index))
    }

    /// The key of the host that decides between racing orders.
    pub fn coordinator() -> Self {
        Self(hash(b"coordinator of orders"))
    }

    /// The key of the hosts that watch the platform.
    pub fn platform_watcher() -> Self {
        Self(hash(b"readers of the platform"))
    }
}

/// The weight of a host for a key. The highest weight is first.
pub fn weight(key: Key, host: &name::Host) -> u64 {
    mix(key.0 ^ hash(host.as_str().as_bytes()))
}

/// The first of `hosts` for `key`.
pub fn highest<'a>(
    key: Key,
    hosts: impl IntoIterator<Item = &'a name::Host>,
) -> Option<&'a name::Host> {
    hosts.into_iter().max_by_key(|host| (weight(key, host), *host))
}

/// A hash that is the same on every daemon (64-bit FNV-1a, with its bits spread).
fn hash(bytes: &[u8]) -> u64 {
    let fold = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    mix(bytes.iter().fold(0xcbf2_9ce4_8422_2325, fold))
}

/// Spreads the bits of a number (the finalizer of splitmix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
