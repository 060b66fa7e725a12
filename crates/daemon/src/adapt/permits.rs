//! Permits, from the schedulers to a request's home.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use hyssop_caller::permits::{Decision, Permits as Border, Request, Stale};
use hyssop_document::{group::Group, number::Tokens};
use hyssop_peer::Node;
use hyssop_policy::{
    decision::{Reason, Refusal},
    permit::{Id, Permit, Release},
};

/// Takes permits from the schedulers of a pool's groups.
#[derive(Debug)]
pub(crate) struct Permits {
    pub(crate) node: Arc<Node>,
}

impl Permits {
    /// Asks one group after the other, and refuses only after the last.
    async fn ask_groups(&self, ask: Request) -> Decision {
        let started = Instant::now();
        let mut verdict =
            Decision::Refused(Refusal { reason: Reason::NoBackend, retry_after_ms: 0 });
        for group in self.groups(&ask) {
            let remaining = ask.remaining.saturating_sub(started.elapsed());
            verdict = self.ask_group(&ask, group, remaining).await;
            if !may_ask_on(&verdict) {
                break;
            }
        }
        verdict
    }

    /// The groups of the pool. Requests with a common prefix begin with the same group.
    fn groups(&self, ask: &Request) -> Vec<Group> {
        let current = self.node.current();
        let Some(document) = &current.document else { return Vec::new() };
        let all = document.catalog.groups_of(&ask.pool);
        let mut groups: Vec<_> = all.iter().map(|members| members.group.clone()).collect();
        if !groups.is_empty() {
            let first = ask.prefix.unwrap_or_else(rand::random) % groups.len() as u64;
            groups.rotate_left(first as usize);
        }
        groups
    }

    async fn ask_group(&self, ask: &Request, group: Group, remaining: Duration) -> Decision {
        let peer_ask = hyssop_peer::PermitRequest {
            group,
            class: ask.class.clone(),
            workspace: ask.workspace.clone(),
            remaining_ms: remaining.as_millis() as u64,
            prompt_tokens: ask.prompt_tokens,
            max_output: ask.max_output,
            prefix: ask.prefix,
            solo: ask.suspect,
            exclude: ask.exclude.clone(),
        };
        match self.node.permit(peer_ask).await {
            hyssop_peer::PermitReply::Granted(permit) => Decision::Granted(permit),
            hyssop_peer::PermitReply::Refused(refusal) => Decision::Refused(refusal),
            hyssop_peer::PermitReply::NoScheduler { retry_after_ms } => {
                Decision::NoScheduler { retry_after: Duration::from_millis(retry_after_ms) }
            }
        }
    }
}

/// Whether another group of the pool may still grant a permit.
fn may_ask_on(verdict: &Decision) -> bool {
    match verdict {
        Decision::Granted(_) => false,
        Decision::Refused(refusal) => refusal.reason != Reason::UnknownName,
        Decision::NoScheduler { .. } => true,
    }
}

impl Border for Permits {
    fn request(&self, ask: Request) -> BoxFuture<'_, Decision> {
        Box::pin(self.ask_groups(ask))
    }

    fn confirm(&self, permit: &Permit) -> Result<(), Stale> {
        self.node.confirm(permit).map_err(|stale| {
            log::info!("permit not used permit={} reason=\"{stale}\"", permit.id);
            Stale
        })
    }

    fn release(&self, release: Release) {
        self.node.release(release);
    }

    fn progress(&self, id: Id, tokens: Tokens) {
        self.node.progress(id, tokens);
    }
}
