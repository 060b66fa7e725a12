//! Publishes and withdraws notices on all daemons.

use std::{sync::Arc, time::Duration};

use compact_str::CompactString;
use hyssop_document::name;

use super::{Node, Shared};
use crate::{
    link,
    notice::{self, Notice},
};

impl Node {
    /// Publishes a notice to every daemon. It expires after `ttl`.
    pub fn publish_notice(&self, name: notice::Name, text: CompactString, ttl: Duration) {
        let now = self.shared.timer.now();
        let notice = self.shared.notices.lock().publish(name, text, ttl, now);
        self.shared.push_notice(&notice);
    }

    /// Withdraws a notice from every daemon. Returns whether it was in effect.
    pub fn withdraw_notice(&self, name: &notice::Name) -> bool {
        let now = self.shared.timer.now();
        let notice = self.shared.notices.lock().withdraw(name, now);
        let found = notice.is_some();
        notice.into_iter().for_each(|notice| self.shared.push_notice(&notice));
        found
    }

    /// Withdraws a notice and waits for the peers to confirm.
    ///
    /// Returns the hosts that confirmed and those that did not, or `None` if the notice was not in
    /// effect.
    pub async fn withdraw_and_confirm(
        &self,
        name: &notice::Name,
    ) -> Option<(Vec<name::Host>, Vec<name::Host>)> {
        let notice = self.shared.notices.lock().withdraw(name, self.shared.timer.now())?;
        self.shared.heartbeat_trigger.notify_one();
        let call = |link: link::Link| {
            let notices = vec![notice.clone()];
            async move { link.client.offer_notices(tarpc::context::current(), notices).await }
        };
        let (confirmed, not_reached) = self.shared.call_all(call).await;
        let peers = confirmed.into_iter().map(|(host, ())| host);
        let mut in_force: Vec<_> =
            std::iter::once(self.shared.identity.host.clone()).chain(peers).collect();
        in_force.sort();
        Some((in_force, not_reached))
    }

    /// Returns a notice, withdrawn or not, with its remaining lifetime.
    pub fn notice(&self, name: &notice::Name) -> Option<Notice> {
        self.shared.notices.lock().get(name, self.shared.timer.now())
    }

    /// Whether a notice is in effect.
    pub fn has_notice(&self, name: &notice::Name) -> bool {
        self.shared.notices.lock().is_active(name, self.shared.timer.now())
    }

    /// All notices in effect.
    pub fn notices(&self) -> Vec<Notice> {
        let mut notices = self.shared.notices.lock().all(self.shared.timer.now());
        notices.retain(|notice| notice.active);
        notices
    }
}

impl Shared {
    pub(super) fn all_notices(&self) -> Vec<Notice> {
        self.notices.lock().all(self.now())
    }

    pub(super) fn apply_notices(&self, notices: Vec<Notice>) {
        let now = self.now();
        let mut table = self.notices.lock();
        for notice in notices {
            let name = notice.name.clone();
            if table.apply(notice, now) {
                log::info!("notice taken name={name}");
            }
        }
    }

    fn push_notice(self: &Arc<Self>, notice: &Notice) {
        for host in self.broadcast_targets() {
            let shared = Arc::clone(self);
            let notice = notice.clone();
            tokio::spawn(async move {
                if let Ok(link) = shared.link(&host).await {
                    let call = link.client.offer_notices(tarpc::context::current(), vec![notice]);
                    // A peer that misses the notice fetches it when heartbeats show a difference.
                    let _ = call.await;
                }
            });
        }
        self.heartbeat_trigger.notify_one();
    }
}
