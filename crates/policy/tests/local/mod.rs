//! Requests and backend servers for tests of decisions that a daemon takes alone.
#![allow(dead_code, unreachable_pub)] // Each test program uses a part of it.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use hyssop_document::{
    name::{Backend, Pool, Zone},
    number::Tier,
};
use hyssop_policy::local::{
    cold,
    decider::{Decider, Decision, Placement, Settings},
    demand::{Demand, Segment},
    repeats,
    server::Server,
};

pub const COLD: cold::Bound = cold::Bound { factor: 1.5, slack: 5.0 };
pub const REPEATS: repeats::Bound =
    repeats::Bound { ratio: 0.2, burst: 58.0, window: Duration::from_secs(10) };

pub const PEER: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

pub fn decider(zone: &str) -> Decider {
    let zone = Zone::new(zone);
    let mut decider = Decider::new(Settings { zone, own_hash: 1, cold: COLD, repeats: REPEATS });
    decider.set_members(vec![1], true);
    decider
}

pub fn engine(index: u32) -> Server {
    Server {
        name: Backend::new(&format!("engine-{index}")),
        hash: index.wrapping_mul(0x9e37_79b1),
        pool: Pool::new("drafts"),
        zone: Zone::new("a"),
        slots: 48,
        cache_tokens: Some(457_270),
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

/// A long prompt about a subject, with a short answer.
pub fn reading(subject: u64, now: Instant) -> Demand {
    let segments = vec![
        Segment { id: subject % 4, tokens: 2_500 },
        Segment { id: 1_000 + subject, tokens: 3_800 },
        Segment { id: 1_000_000 + subject, tokens: 2_900 },
    ];
    Demand {
        pool: Pool::new("drafts"),
        tier: Tier(2),
        prompt_tokens: segments.iter().map(|part| part.tokens).sum(),
        segments,
        output_tokens: 54,
        arrived: now,
        target: Duration::from_millis(400),
        deadline: now + Duration::from_secs(4),
        excluded: Vec::new(),
        is_repeat: false,
    }
}

/// A short prompt with a long answer.
pub fn generating(subject: u64, now: Instant) -> Demand {
    let segments = vec![
        Segment { id: 50 + subject % 40, tokens: 120 },
        Segment { id: 5_000 + subject, tokens: 80 },
        Segment { id: 5_000_000 + subject, tokens: 630 },
    ];
    let deadline = now + Duration::from_secs(12);
    Demand { prompt_tokens: 830, segments, output_tokens: 294, deadline, ..reading(subject, now) }
}

pub fn plain(now: Instant) -> Demand {
    Demand {
        pool: Pool::new("desk"),
        segments: Vec::new(),
        prompt_tokens: 0,
        output_tokens: 0,
        deadline: now + Duration::from_millis(800),
        ..reading(0, now)
    }
}

pub fn sent_to(decision: &Decision) -> &Placement {
    match decision {
        Decision::Send(place) => place,
        Decision::Refuse { reason, .. } => panic!("refused: {reason}"),
    }
}
