//! A request as the decisions see it.

use std::time::{Duration, Instant};

use hyssop_document::{
    name::{Backend, Pool},
    number::Tier,
};

/// A part of a prompt that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// What the part is: equal parts have equal numbers.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a request needs.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// The pool that serves it.
    pub pool: Pool,
    /// Its tier.
    pub tier: Tier,
    /// The parts of its prompt in order.
    pub parts: Vec<Part>,
    /// The tokens of its prompt.
    pub prompt_tokens: u32,
    /// The tokens that it will probably generate.
    pub output_tokens: u32,
    /// When the daemon had read it.
    pub arrived: Instant,
    /// The time from its arrival to the answer, or the first event, that is in time.
    pub target: Duration,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    /// Backend servers that must not get it again.
    pub excluded: Vec<Backend>,
    /// Whether a backend server has had it before.
    pub repeat: bool,
}

impl Demand {
    /// The part that decides where the prompt is cached: the last one that other requests share.
    pub fn subject(&self) -> Option<Part> {
        match self.parts.as_slice() {
            [] => None,
            [only] => Some(*only),
            [.., shared, _own] => Some(*shared),
        }
    }

    /// The tokens of the prompt that no other request has.
    pub fn own_tokens(&self) -> u32 {
        let shared: u32 = match self.parts.as_slice() {
            [] => 0,
            [shared @ .., _own] => shared.iter().map(|part| part.tokens).sum(),
        };
        self.prompt_tokens.saturating_sub(shared)
    }

    /// The tokens of KV cache that it holds while it runs.
    pub fn held_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}
