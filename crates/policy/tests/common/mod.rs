//! A small document and request entries for scheduler tests.

#![allow(dead_code)]

use std::time::{Duration, Instant};

use hyssop_document::{
    digest::Digest,
    group::Group,
    model, name,
    number::{Incarnation, Percent, Revision, Tier, Tokens},
    order,
};
use hyssop_policy::{
    decision::Decision,
    entry::{Entry, Ticket},
    load::Load,
    permit::{End, Permit, Release},
    scheduler::{Builder, Scheduler},
    share::Share,
};

/// The pool that all tests use.
pub(crate) const POOL: &str = "draft";

/// A document with `backends` backend servers, three classes of tiers 1, 2 and 3, and three
/// workspaces with shares 1, 1 and 2.
pub(crate) fn document(backends: usize, cold_limit: u32, warm_limit: u32) -> model::Document {
    let class = |name, tier, floor| model::Class {
        name: name::Class::new(name),
        tier: Tier(tier),
        first_token_ms: 1000,
        complete_ms: 10_000,
        max_running_ms: 60_000,
        idempotent: true,
        floor_percent: Percent(floor),
    };
    let workspace = |name: &str, share| model::Workspace {
        name: name::Workspace::new(name),
        share,
        key_sha256: Digest::of(name.as_bytes()),
    };
    let backend = |index: usize| model::Backend {
        name: name::Backend::new(&format!("b{index}")),
        address: ([127, 0, 0, 1], 4000 + index as u16).into(),
        zone: name::Zone::new(["z1", "z2"][index % 2]),
        pool: name::Pool::new(POOL),
    };
    model::Document {
        environment: name::Environment::new("test"),
        revision: Revision(1),
        group_size: 64,
        classes: vec![class("desk", 1, 0), class("draft", 2, 0), class("bulk", 3, 10)],
        workspaces: vec![workspace("w1", 1), workspace("w2", 1), workspace("w3", 2)],
        zones: vec![
            model::Zone { name: name::Zone::new("z1") },
            model::Zone { name: name::Zone::new("z2") },
        ],
        pools: vec![model::Pool {
            name: name::Pool::new(POOL),
            kind: model::Kind::Model,
            latest_end_ms: 60_000,
            cold_limit,
            warm_limit,
            queue_limit: 100,
        }],
        backends: (0..backends).map(backend).collect(),
    }
}

/// The group that all tests use.
pub(crate) fn group() -> Group {
    Group { pool: name::Pool::new(POOL), index: 0 }
}

/// A builder with the full share.
pub(crate) fn builder() -> Builder {
    Scheduler::builder(group(), Incarnation(7)).seed(1).share(Share::FULL)
}

/// A configured scheduler with the full share.
pub(crate) fn scheduler(document: &model::Document, now: Instant) -> Scheduler {
    let mut scheduler = builder().build(now);
    scheduler.configure(document, &order::State::default(), now);
    scheduler
}

/// An entry due in 30 s, with 100 prompt tokens and at most 100 output tokens.
pub(crate) fn entry(ticket: u64, class: &str, workspace: &str) -> Entry {
    Entry {
        ticket: Ticket(ticket),
        home: name::Host::new("h1"),
        home_incarnation: Incarnation(1),
        zone: name::Zone::new("z1"),
        class: name::Class::new(class),
        workspace: name::Workspace::new(workspace),
        remaining_ms: 30_000,
        prompt_tokens: Tokens(100),
        max_output: Some(Tokens(100)),
        prefix: None,
        suspect: false,
        exclude: Vec::new(),
    }
}

/// A release after `elapsed_ms` with 100 tokens.
pub(crate) fn release(permit: &Permit, end: End, elapsed_ms: u64) -> Release {
    Release {
        id: permit.id,
        end,
        first_token_ms: Some(elapsed_ms / 10),
        elapsed_ms,
        output_tokens: Tokens(100),
        late: false,
    }
}

/// A load report of a backend server that is not cold.
pub(crate) fn load(incarnation: u64, running: u32) -> Load {
    Load { incarnation, running, waiting: 0, kv_used: 0.0, cold: false, tokens_per_s: None }
}

/// The granted requests with their permits.
pub(crate) fn permits(decisions: Vec<Decision>) -> Vec<(Ticket, Permit)> {
    decisions
        .into_iter()
        .filter_map(|decision| match decision {
            Decision::Grant { ticket, permit } => Some((ticket, permit)),
            Decision::Refuse { .. } => None,
        })
        .collect()
}

/// The refused tickets with their reasons.
pub(crate) fn refusals(decisions: &[Decision]) -> Vec<String> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Refuse { ticket, refusal } => Some(format!("{ticket} {}", refusal.reason)),
            Decision::Grant { .. } => None,
        })
        .collect()
}

/// Short for [`Duration::from_millis`].
pub(crate) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
