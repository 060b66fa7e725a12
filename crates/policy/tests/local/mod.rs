//! Requests and backend servers for tests of local placement.
#![allow(dead_code, unreachable_pub)] // Each test program uses only some of the items.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use hyssop_document::{
    build::Build,
    name::{Backend, Pool, Zone},
    number::Tier,
};
use hyssop_policy::local::{
    cold,
    decider::{Decider, Decision, Placement, Settings},
    demand::{Demand, Segment},
    holders::Membership,
    repeats,
    server::Server,
};

pub const COLD: cold::Bound = cold::Bound { factor: 1.5, slack: 5.0 };
pub const REPEATS: repeats::Bound =
    repeats::Bound { ratio: 0.2, burst: 58.0, window: Duration::from_secs(10) };

pub const PEER: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// The start of a daemon that has run for a window without a repeat, so that its share is saved up.
pub fn past_start() -> repeats::Start {
    let at = Instant::now() - REPEATS.window - Duration::from_secs(1);
    repeats::Start { at, first: true }
}

pub fn settings(zone: &str) -> Settings {
    Settings {
        zone: Zone::new(zone),
        own_hash: 1,
        start: past_start(),
        cold: COLD,
        repeats: REPEATS,
        hedges: None,
        fair_shares: false,
        shared_speeds: false,
    }
}

pub fn decider(zone: &str) -> Decider {
    let mut decider = Decider::new(settings(zone));
    decider.set_members(vec![1], Membership::Converged);
    decider
}

/// A decider of a daemon that shares measurements of speeds with its peers.
pub fn sharing_decider(zone: &str) -> Decider {
    let mut decider = Decider::new(Settings { shared_speeds: true, ..settings(zone) });
    decider.set_members(vec![1], Membership::Converged);
    decider
}

pub fn engine(index: u32) -> Server {
    Server {
        name: Backend::new(&format!("engine-{index}")),
        hash: index.wrapping_mul(0x9e37_79b1),
        pool: Pool::new("drafts"),
        zone: Zone::new("a"),
        build: Build::default(),
        slots: 48,
        cache_tokens: Some(457_270),
        fetch_tokens_per_ms: None,
        cold_rate: 16.0,
        max_connections: 310,
        incarnation: 1,
    }
}

pub fn service(index: u32) -> Server {
    Server {
        pool: Pool::new("desk"),
        slots: 6,
        cache_tokens: None,
        cold_rate: 0.0,
        ..engine(index)
    }
}

/// A request with a long prompt and a short response.
pub fn prefill_heavy(prefix: u64, now: Instant) -> Demand {
    let segments = vec![
        Segment { id: prefix % 4, tokens: 2_500 },
        Segment { id: 1_000 + prefix, tokens: 3_800 },
        Segment { id: 1_000_000 + prefix, tokens: 2_900 },
    ];
    Demand {
        pool: Pool::new("drafts"),
        tier: Tier(2),
        route_tier: Tier(2),
        prompt_tokens: segments.iter().map(|segment| segment.tokens).sum(),
        segments,
        output_tokens: 54,
        arrived: now,
        target: Duration::from_millis(400),
        max_event_gap: None,
        deadline: now + Duration::from_secs(4),
        build: None,
        excluded: Vec::new(),
        is_repeat: false,
        is_recorded: false,
        may_have_run: false,
        workspace: None,
        is_returning: false,
    }
}

/// A request with a short prompt and a long response.
pub fn decode_heavy(prefix: u64, now: Instant) -> Demand {
    let segments = vec![
        Segment { id: 50 + prefix % 40, tokens: 120 },
        Segment { id: 5_000 + prefix, tokens: 80 },
        Segment { id: 5_000_000 + prefix, tokens: 630 },
    ];
    let deadline = now + Duration::from_secs(12);
    Demand {
        prompt_tokens: 830,
        segments,
        output_tokens: 294,
        deadline,
        ..prefill_heavy(prefix, now)
    }
}

pub fn plain_request(now: Instant) -> Demand {
    Demand {
        pool: Pool::new("desk"),
        segments: Vec::new(),
        prompt_tokens: 0,
        output_tokens: 0,
        deadline: now + Duration::from_millis(800),
        ..prefill_heavy(0, now)
    }
}

/// The placement of a request that must be sent.
pub fn expect_send(decision: &Decision) -> &Placement {
    match decision {
        Decision::Send(placement) => placement,
        Decision::Refuse { reason, .. } => panic!("refused: {reason}"),
    }
}
