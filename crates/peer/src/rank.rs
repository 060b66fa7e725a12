//! Rendezvous hashing: ranks hosts for a key, with the same result on every daemon.

use hyssop_document::{group::Group, name};
use serde::{Deserialize, Serialize};

/// The role that hosts are ranked for: scheduler of a group, coordinator of orders, or watcher of
/// the platform.
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
    /// The key for the scheduler of a group.
    pub fn group(group: &Group) -> Self {
        let unmixed = hash(group.pool.as_str().as_bytes()) ^ u64::from(group.index);
        Self(mix(unmixed))
    }

    /// The key for the coordinator, the host that applies all orders.
    pub fn coordinator() -> Self {
        Self(hash(b"coordinator of orders"))
    }

    /// The key for the hosts that watch the platform.
    pub fn platform_watcher() -> Self {
        Self(hash(b"readers of the platform"))
    }
}

/// The weight of a host for a key. A higher weight is a higher rank.
pub fn weight(key: Key, host: &name::Host) -> u64 {
    mix(key.0 ^ hash(host.as_str().as_bytes()))
}

/// Returns the host with the highest rank for `key`. Equal weights are ordered by name.
pub fn highest<'a>(
    key: Key,
    hosts: impl IntoIterator<Item = &'a name::Host>,
) -> Option<&'a name::Host> {
    hosts.into_iter().max_by_key(|host| (weight(key, host), *host))
}

/// Hashes bytes with 64-bit FNV-1a and mixes the result. Unseeded, so equal on every daemon.
fn hash(bytes: &[u8]) -> u64 {
    let step = |state: u64, byte: &u8| (state ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    mix(bytes.iter().fold(0xcbf2_9ce4_8422_2325, step))
}

/// Mixes all bits of a number into each other (the finalizer of splitmix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
