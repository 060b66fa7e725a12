//! Requests permits from the schedulers for a request's home.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use hyssop_caller::permits::{Ask, Permits as CallerPermits, Stale, Verdict};
use hyssop_document::{group::Group, number::Tokens};
use hyssop_peer::Node;
use hyssop_policy::{
    decision::{Reason, Refusal},
    permit::{Id, Permit, Release},
};

/// Requests permits from the schedulers of a pool's groups.
#[derive(Debug)]
pub(crate) struct Permits {
    pub(crate) node: Arc<Node>,
}

impl Permits {
    /// Tries the groups of the pool in turn until one grants a permit or no further group can.
    async fn try_groups(&self, request: Ask) -> Verdict {
        let started = Instant::now();
        let mut decision =
            Verdict::Refused(Refusal { reason: Reason::NoBackend, retry_after_ms: 0 });
        for group in self.groups(&request) {
            let remaining = request.remaining.saturating_sub(started.elapsed());
            decision = self.try_group(&request, group, remaining).await;
            if !may_try_next(&decision) {
                break;
            }
        }
        decision
    }

    /// The groups of the pool in the order to try them. Requests with a shared prefix start with
    /// the same group.
    fn groups(&self, request: &Ask) -> Vec<Group> {
        let current = self.node.current();
        let Some(document) = &current.document else { return Vec::new() };
        let all = document.catalog.groups_of(&request.pool);
        let mut groups: Vec<_> = all.iter().map(|members| members.group.clone()).collect();
        if !groups.is_empty() {
            let first = request.prefix.unwrap_or_else(rand::random) % groups.len() as u64;
            groups.rotate_left(first as usize);
        }
        groups
    }

    async fn try_group(&self, request: &Ask, group: Group, remaining: Duration) -> Verdict {
        let peer_request = hyssop_peer::Ask {
            group,
            class: request.class.clone(),
            workspace: request.workspace.clone(),
            remaining_ms: remaining.as_millis() as u64,
            prompt_tokens: request.prompt_tokens,
            max_output: request.max_output,
            prefix: request.prefix,
            solo: request.solo,
            exclude: request.exclude.clone(),
        };
        match self.node.permit(peer_request).await {
            hyssop_peer::Verdict::Granted(permit) => Verdict::Granted(permit),
            hyssop_peer::Verdict::Refused(refusal) => Verdict::Refused(refusal),
            hyssop_peer::Verdict::NoScheduler { retry_after_ms } => {
                Verdict::NoScheduler { retry_after: Duration::from_millis(retry_after_ms) }
            }
        }
    }
}

/// Whether another group of the pool may still grant a permit.
fn may_try_next(decision: &Verdict) -> bool {
    match decision {
        Verdict::Granted(_) => false,
        Verdict::Refused(refusal) => refusal.reason != Reason::UnknownName,
        Verdict::NoScheduler { .. } => true,
    }
}

impl CallerPermits for Permits {
    fn ask(&self, request: Ask) -> BoxFuture<'_, Verdict> {
        Box::pin(self.try_groups(request))
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
