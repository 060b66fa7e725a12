//! Records of requests that crash backend servers, shared by all daemons.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use compact_str::ToCompactString;
use hyssop_backend::blame::{self, Record, Registry};
use hyssop_caller::quarantine::{Fingerprint, Quarantine as Border, Status};
use hyssop_operator::quarantine as shown;
use hyssop_peer::{Node, notice};
use parking_lot::Mutex;

/// The time for which a record is kept after the last crash.
const LIFETIME: Duration = Duration::from_secs(30 * 60);
/// The kind of the notices that carry records.
const NOTICE_KIND: &str = "crash";

/// This daemon's records, merged with the notices of its peers.
#[derive(Debug)]
pub(crate) struct Quarantine {
    node: Arc<Node>,
    book: Mutex<Registry>,
}

impl Quarantine {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node, book: Mutex::new(Registry::new(LIFETIME)) }
    }

    /// All fingerprints that are not run any more.
    pub(crate) fn report(&self) -> shown::Report {
        for notice in self.node.notices() {
            if notice.name.kind == NOTICE_KIND {
                self.merge(&notice);
            }
        }
        let now = Instant::now();
        let records = self.book.lock().list(now);
        let quarantined =
            records.into_iter().filter(|(_, record)| record.status() == blame::Status::Quarantined);
        let entries = quarantined.map(|(fingerprint, record)| shown::Entry {
            fingerprint: shown::Fingerprint(fingerprint.0),
            workspace: None,
            pool: None,
            crashes: record.crashes,
            expires_in_ms: record.expires.saturating_duration_since(now).as_millis() as u64,
        });
        shown::Report { entries: entries.collect() }
    }

    /// Forgets a fingerprint on every daemon that can be reached.
    pub(crate) async fn release(&self, fingerprint: shown::Fingerprint) -> shown::Release {
        let known = self.book.lock().release(blame::Fingerprint(fingerprint.0)).is_some();
        let withdrawn = self.node.confirm_withdrawal(&notice_name(fingerprint.0)).await;
        let released = known || withdrawn.is_some();
        let nowhere_else = || (vec![self.node.identity().host.clone()], Vec::new());
        let (in_force, not_reached) = withdrawn.unwrap_or_else(nowhere_else);
        shown::Release { fingerprint, released, in_force, not_reached }
    }

    /// Brings one record up to date with the notices, and returns how it stands.
    fn refresh(&self, fingerprint: u64) -> blame::Status {
        let name = notice_name(fingerprint);
        match self.node.notice(&name) {
            Some(notice) if notice.active => self.merge(&notice),
            // Another daemon has released it.
            Some(_) => {
                self.book.lock().release(blame::Fingerprint(fingerprint));
            }
            None => {}
        }
        self.book.lock().status(blame::Fingerprint(fingerprint), Instant::now())
    }

    fn merge(&self, notice: &notice::Notice) {
        let Ok(crashes) = notice.text.parse() else {
            log::warn!("notice ignored name={} text={:?}", notice.name, notice.text);
            return;
        };
        let now = Instant::now();
        let expires = now + Duration::from_millis(notice.ttl_ms);
        let record = Record { crashes, expires };
        self.book.lock().merge(blame::Fingerprint(notice.name.key), record, now);
    }

    fn spread(&self, fingerprint: u64, record: Record) {
        let text = record.crashes.to_compact_string();
        self.node.put_notice(notice_name(fingerprint), text, LIFETIME);
    }
}

fn notice_name(fingerprint: u64) -> notice::Name {
    notice::Name { kind: NOTICE_KIND.into(), key: fingerprint }
}

fn standing(standing: blame::Status) -> Status {
    match standing {
        blame::Status::Clear => Status::Clear,
        blame::Status::Suspect => Status::Suspect,
        blame::Status::Quarantined => Status::Quarantined,
    }
}

impl Border for Quarantine {
    fn status(&self, fingerprint: Fingerprint) -> Status {
        standing(self.refresh(fingerprint.0))
    }

    fn blame(&self, fingerprint: Fingerprint, solo: bool) -> Status {
        self.refresh(fingerprint.0);
        let blamed = blame::Fingerprint(fingerprint.0);
        let record = self.book.lock().blame(blamed, solo, Instant::now());
        log::warn!(
            "request blamed for a crash fingerprint={fingerprint} solo={solo} crashes={} standing={}",
            record.crashes,
            record.status(),
        );
        self.spread(fingerprint.0, record);
        standing(record.status())
    }

    fn clear_suspect(&self, fingerprint: Fingerprint) {
        let acquitted = self.book.lock().clear_suspect(blame::Fingerprint(fingerprint.0));
        if acquitted {
            self.node.withdraw_notice(&notice_name(fingerprint.0));
        }
    }
}
