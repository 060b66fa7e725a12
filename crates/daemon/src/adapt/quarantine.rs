//! Records of requests that crash backend servers. Notices replicate them to all daemons.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use compact_str::ToCompactString;
use hyssop_backend::blame::{self, Record, Registry};
use hyssop_caller::quarantine::{Fingerprint, Quarantine as CallerQuarantine, Status};
use hyssop_operator::quarantine as operator_quarantine;
use hyssop_peer::{Node, notice};
use parking_lot::Mutex;

/// The time for which a record is kept after the last crash.
const RECORD_TTL: Duration = Duration::from_secs(30 * 60);
/// The kind of the notices that carry records.
const NOTICE_KIND: &str = "crash";

/// The records of this daemon, merged with the notices of its peers.
#[derive(Debug)]
pub(crate) struct Quarantine {
    node: Arc<Node>,
    registry: Mutex<Registry>,
}

impl Quarantine {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node, registry: Mutex::new(Registry::new(RECORD_TTL)) }
    }

    /// All fingerprints that are quarantined.
    pub(crate) fn report(&self) -> operator_quarantine::Report {
        for notice in self.node.notices() {
            if notice.name.kind == NOTICE_KIND {
                self.merge(&notice);
            }
        }
        let now = Instant::now();
        let records = self.registry.lock().list(now);
        let quarantined =
            records.into_iter().filter(|(_, record)| record.status() == blame::Status::Quarantined);
        let entries = quarantined.map(|(fingerprint, record)| operator_quarantine::Entry {
            fingerprint: operator_quarantine::Fingerprint(fingerprint.0),
            workspace: None,
            pool: None,
            crashes: record.crashes,
            expires_in_ms: record.expires.saturating_duration_since(now).as_millis() as u64,
        });
        operator_quarantine::Report { entries: entries.collect() }
    }

    /// Removes the record of a fingerprint on every daemon that can be reached.
    pub(crate) async fn release(
        &self,
        fingerprint: operator_quarantine::Fingerprint,
    ) -> operator_quarantine::Release {
        let recorded = self.registry.lock().release(blame::Fingerprint(fingerprint.0)).is_some();
        let withdrawn = self.node.withdraw_and_confirm(&notice_name(fingerprint.0)).await;
        let released = recorded || withdrawn.is_some();
        let only_this_host = || (vec![self.node.identity().host.clone()], Vec::new());
        let (in_force, not_reached) = withdrawn.unwrap_or_else(only_this_host);
        operator_quarantine::Release { fingerprint, released, in_force, not_reached }
    }

    /// Updates one record from the notices and returns the status of the fingerprint.
    fn refresh(&self, fingerprint: u64) -> blame::Status {
        let name = notice_name(fingerprint);
        match self.node.notice(&name) {
            Some(notice) if notice.active => self.merge(&notice),
            // Another daemon has released the fingerprint.
            Some(_) => {
                self.registry.lock().release(blame::Fingerprint(fingerprint));
            }
            None => {}
        }
        self.registry.lock().status(blame::Fingerprint(fingerprint), Instant::now())
    }

    fn merge(&self, notice: &notice::Notice) {
        let Ok(crashes) = notice.text.parse() else {
            log::warn!("notice ignored name={} text={:?}", notice.name, notice.text);
            return;
        };
        let now = Instant::now();
        let expires = now + Duration::from_millis(notice.ttl_ms);
        let record = Record { crashes, expires };
        self.registry.lock().merge(blame::Fingerprint(notice.name.key), record, now);
    }

    fn publish(&self, fingerprint: u64, record: Record) {
        let text = record.crashes.to_compact_string();
        self.node.publish_notice(notice_name(fingerprint), text, RECORD_TTL);
    }
}

fn notice_name(fingerprint: u64) -> notice::Name {
    notice::Name { kind: NOTICE_KIND.into(), key: fingerprint }
}

fn caller_status(status: blame::Status) -> Status {
    match status {
        blame::Status::Clear => Status::Clear,
        blame::Status::Suspect => Status::Suspect,
        blame::Status::Quarantined => Status::Quarantined,
    }
}

impl CallerQuarantine for Quarantine {
    fn status(&self, fingerprint: Fingerprint) -> Status {
        caller_status(self.refresh(fingerprint.0))
    }

    fn blame(&self, fingerprint: Fingerprint, solo: bool) -> Status {
        self.refresh(fingerprint.0);
        let blamed = blame::Fingerprint(fingerprint.0);
        let record = self.registry.lock().blame(blamed, solo, Instant::now());
        log::warn!(
            "request blamed for a crash fingerprint={fingerprint} solo={solo} crashes={} standing={}",
            record.crashes,
            record.status(),
        );
        self.publish(fingerprint.0, record);
        caller_status(record.status())
    }

    fn clear_suspect(&self, fingerprint: Fingerprint) {
        let cleared = self.registry.lock().clear_suspect(blame::Fingerprint(fingerprint.0));
        if cleared {
            self.node.withdraw_notice(&notice_name(fingerprint.0));
        }
    }
}
