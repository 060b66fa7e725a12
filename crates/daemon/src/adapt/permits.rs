//! Permits for a request's home.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use hyssop_caller::permits::{Decision, Permits as CallerPermits, Request, Stale};
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
    async fn try_groups(&self, request: Request) -> Decision {
        let started = Instant::now();
        let mut decision =
            Decision::Refused(Refusal { reason: Reason::NoBackend, retry_after_ms: 0 });
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
    fn groups(&self, request: &Request) -> Vec<Group> {
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

    async fn try_group(&self, request: &Request, group: Group, remaining: Duration) -> Decision {
        let peer_request = hyssop_peer::PermitRequest {
            group,
            class: request.class.clone(),
            workspace: request.workspace.clone(),
            remaining_ms: remaining.as_millis() as u64,
            prompt_tokens: request.prompt_tokens,
            max_output: request.max_output,
            prefix: request.prefix,
            suspect: request.suspect,
            exclude: request.exclude.clone(),
        };
        match self.node.request_permit(peer_request).await {
            hyssop_peer::PermitReply::Granted(permit) => Decision::Granted(permit),
            hyssop_peer::PermitReply::Refused(refusal) => Decision::Refused(refusal),
            hyssop_peer::PermitReply::NoScheduler { retry_after_ms } => {
                Decision::NoScheduler { retry_after: Duration::from_millis(retry_after_ms) }
            }
        }
    }
}

/// Whether another group of the pool may still grant a permit.
fn may_try_next(decision: &Decision) -> bool {
    match decision {
        Decision::Granted(_) => false,
        Decision::Refused(refusal) => refusal.reason != Reason::UnknownName,
        Decision::NoScheduler { .. } => true,
    }
}

impl CallerPermits for Permits {
    fn request(&self, request: Request) -> BoxFuture<'_, Decision> {
        Box::pin(self.try_groups(request))
    }

    fn check(&self, permit: &Permit) -> Result<(), Stale> {
        self.node.check_permit(permit).map_err(|stale| {
            log::info!("permit not used permit={} reason=\"{stale}\"", permit.id);
            Stale
        })
    }

    fn release(&self, release: Release) {
        self.node.release(release);
    }

    fn record_progress(&self, id: Id, tokens: Tokens) {
        self.node.record_progress(id, tokens);
    }
}
