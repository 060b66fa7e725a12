//! The properties of a request that placement depends on.

use std::{
    fmt,
    time::{Duration, Instant},
};

use hyssop_document::{
    build::Build,
    name::{Backend, Pool},
    number::Tier,
};

/// A segment of a prompt that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Identifies the content: equal segments have equal ids.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u32,
}

/// The ids of segments for logs: hexadecimal, separated by commas.
pub struct SegmentIds<'a>(pub &'a [Segment]);

impl fmt::Display for SegmentIds<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, segment) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{:x}", segment.id)?;
        }
        Ok(())
    }
}

/// The workspace of a request, as far as placement depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Workspace {
    /// The hash of the workspace's name, the same in all daemons.
    pub hash: u32,
    /// The workspace's part of a pool that is short of capacity, relative to other workspaces.
    pub weight: u32,
}

/// What a request needs.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// The pool that serves the request.
    pub pool: Pool,
    /// The tier of the workspace, or else of the route.
    pub tier: Tier,
    /// The tier of the route, which orders requests of the same tier.
    pub route_tier: Tier,
    /// The segments of the prompt in order.
    pub segments: Vec<Segment>,
    /// The length of the prompt in tokens; 0 for a request to a plain service.
    pub prompt_tokens: u32,
    /// The expected length of the output in tokens.
    pub output_tokens: u32,
    /// When the daemon had read the request.
    pub arrived: Instant,
    /// The time from arrival within which the response, or its first event, is in time.
    pub target: Duration,
    /// The longest time between two events of a response that is in time, if the route limits it.
    pub max_event_gap: Option<Duration>,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    /// The build that began the stream, if the request continues one. Only backend servers of this
    /// build may get the request.
    pub build: Option<Build>,
    /// Backend servers that must not get the request again.
    pub excluded: Vec<Backend>,
    /// Whether a backend server has had the request before, so that a send counts as a repeat.
    pub is_repeat: bool,
    /// Whether a send was recorded before, even if it reached no backend server. Repeats are earned by
    /// requests, so only the first send of each earns.
    pub is_recorded: bool,
    /// Whether a backend server may have run the request, or part of it. Then it can't be refused any
    /// more, only fail.
    pub may_have_run: bool,
    /// The workspace. Requests without one count as those of one workspace.
    pub workspace: Option<Workspace>,
    /// Whether the caller has less time left than its route allows: it has been refused before.
    pub is_returning: bool,
}

impl Demand {
    /// Records that a backend server may have run the request, or part of it.
    pub fn record_run(&mut self) {
        self.is_repeat = true;
        self.may_have_run = true;
    }

    /// Whether part of the work is done, so that a refusal would waste it.
    pub fn has_begun(&self) -> bool {
        self.may_have_run || self.build.is_some()
    }

    /// Orders requests: the smallest value is the most urgent.
    pub fn urgency(&self) -> (Tier, Tier) {
        (self.tier, self.route_tier)
    }

    /// Identifies the requests of the same pool and urgency. The same in all daemons.
    pub fn class(&self) -> u32 {
        let urgency = [self.tier.0, self.route_tier.0];
        let bytes = self.pool.as_str().bytes().chain(urgency);
        // FNV-1a, as for names of backend servers.
        bytes
            .fold(0x811c_9dc5, |hash: u32, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
    }

    /// The workspace, or that of all requests without one.
    pub fn workspace(&self) -> Workspace {
        self.workspace.unwrap_or(Workspace { hash: 0, weight: 1 })
    }

    /// The last segment that other requests share. It decides where the prompt is cached.
    pub fn shared_prefix(&self) -> Option<Segment> {
        match self.segments.as_slice() {
            [] => None,
            [only] => Some(*only),
            [.., shared, _own] => Some(*shared),
        }
    }

    /// The segments that other requests may share: all but the last one.
    pub fn shared_segments(&self) -> &[Segment] {
        self.segments.split_last().map_or(&[], |(_own, shared)| shared)
    }

    /// The prompt tokens that no other request has.
    pub fn unshared_tokens(&self) -> u32 {
        let shared: u32 = self.shared_segments().iter().map(|segment| segment.tokens).sum();
        self.prompt_tokens.saturating_sub(shared)
    }

    /// The tokens of KV cache that the request holds while it runs.
    pub fn held_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}
