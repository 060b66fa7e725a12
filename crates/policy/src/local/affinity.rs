//! Rendezvous hashing: daemons agree without a message on where a shared prefix is cached.
//!
//! For loads with many requests for few shared prefixes: each prefix has a first choice, and the
//! loss of a backend server moves only the prefixes whose first choice it was.

/// The weight of a backend server for a key, such as the id of a prompt segment. The backend server
/// with the highest weight is the first choice.
pub fn weight(server: u32, key: u64) -> u64 {
    // The finalizer of SplitMix64: every input bit changes every output bit.
    let mut x = key ^ (u64::from(server) << 32 | u64::from(server)).wrapping_mul(GOLDEN_RATIO);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// 2^64 divided by the golden ratio, the increment of SplitMix64.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
