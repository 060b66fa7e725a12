//! Notices: put up, taken back, and passed on.

use std::{sync::Arc, time::Duration};

use compact_str::CompactString;
use hyssop_document::name;

use super::{Node, Shared};
use crate::{
    link,
    notice::{self, Notice},
};

impl Node {
    /// Puts up a notice on every daemon.
    pub fn put_notice(&self, name: notice::Name, text: CompactString, expires: Duration) {
        let now = self.shared.timer.now();
        let notice = self.shared.board.lock().publish(name, text, expires, now);
        self.shared.push_notice(&notice);
    }

    /// Takes a notice back on every daemon. Returns whether there was one.
    pub fn withdraw_notice(&self, name: &notice::Name) -> bool {
        let now = self.shared.timer.now();
        let notice = self.shared.board.lock().withdraw(name, now);
        let found = notice.is_some();
        notice.into_iter().for_each(|notice| self.shared.push_notice(&notice));
        found
    }

    /// Takes a notice back and waits for the peers to confirm it.
    ///
    /// Returns `None` if there was none, else the hosts that have confirmed and those that have not.
    pub async fn confirm_withdrawal(
        &self,
        name: &notice::Name,
    ) -> Option<(Vec<name::Host>, Vec<name::Host>)> {
        let notice = self.shared.board.lock().withdraw(name, self.shared.timer.now())?;
        self.shared.beat.notify_one();
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

    /// A notice, also one that was taken back, with the time that it has left.
    pub fn notice(&self, name: &notice::Name) -> Option<Notice> {
        self.shared.board.lock().get(name, self.shared.timer.now())
    }

    /// Whether a notice holds.
    pub fn has_notice(&self, name: &notice::Name) -> bool {
        self.shared.board.lock().is_active(name, self.shared.timer.now())
    }

    /// All notices that hold.
    pub fn notices(&self) -> Vec<Notice> {
        let mut notices = self.shared.board.lock().all(self.shared.timer.now());
        notices.retain(|notice| notice.active);
        notices
    }
}

impl Shared {
    pub(super) fn all_notices(&self) -> Vec<Notice> {
        self.board.lock().all(self.now())
    }

    pub(super) fn take_notices(&self, notices: Vec<Notice>) {
        let now = self.now();
        let mut board = self.board.lock();
        for notice in notices {
            let name = notice.name.clone();
            if board.apply(notice, now) {
                log::info!("notice taken name={name}");
            }
        }
    }

    fn push_notice(self: &Arc<Self>, notice: &Notice) {
        for host in self.audience() {
            let shared = Arc::clone(self);
            let notice = notice.clone();
            tokio::spawn(async move {
                if let Ok(link) = shared.link(&host).await {
                    let call = link.client.offer_notices(tarpc::context::current(), vec![notice]);
                    // A peer that misses it sees the difference in the next heartbeat.
                    let _ = call.await;
                }
            });
        }
        self.beat.notify_one();
    }
}
