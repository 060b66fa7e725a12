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

/// The score of a backend server for a key, by which backend servers are the first choice of as many
/// keys as their shares say. With equal shares it ranks like [`weight`].
pub fn score(server: u32, key: u64, share: f64) -> f64 {
    let drawn = ((weight(server, key) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -share / drawn.ln()
}

/// Steps of an engine's speed per factor of two. Daemons with slightly different estimates of a speed
/// mostly agree on its step, and therefore on where prefixes are cached.
const STEPS_PER_OCTAVE: f64 = 4.0;
/// How far a speed must lie from its step, in steps, before it gets another one.
const STEP_HYSTERESIS: f64 = 0.75;

/// The speed of an engine in steps. Usual until measured.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Speed {
    /// Positive for an engine that is faster than usual.
    step: i32,
}

impl Speed {
    /// Changes the step if the engine has become that much slower or faster.
    pub fn update(&mut self, slowness: f64) {
        let steps = -slowness.log2() * STEPS_PER_OCTAVE;
        if (steps - f64::from(self.step)).abs() > STEP_HYSTERESIS {
            self.step = steps.round() as i32;
        }
    }

    /// The share of prefixes that the engine gets, relative to one of usual speed.
    pub fn share(self) -> f64 {
        (f64::from(self.step) / STEPS_PER_OCTAVE).exp2()
    }
}
