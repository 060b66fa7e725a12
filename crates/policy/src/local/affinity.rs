//! Rendezvous hashing: all daemons agree without a message on where a prompt's part is cached.
//!
//! Answers the load pattern of many requests about a few subjects: each subject has a first choice,
//! and the loss of one backend server moves only that server's subjects.

/// The weight of a backend server for a part of a prompt. The highest weight is the first choice.
pub fn weight(server: u32, part: u64) -> u64 {
    // The finalizer of SplitMix64: every input bit changes every output bit.
    let mut x = part ^ (u64::from(server) << 32 | u64::from(server)).wrapping_mul(GOLDEN);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
