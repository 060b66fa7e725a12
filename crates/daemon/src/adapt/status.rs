//! Converts the status of daemons from the types of peers to those of operators.

use std::collections::BTreeMap;

use hyssop_document::number::Revision;
use hyssop_operator::status;
use hyssop_peer::{current::Rejection, status as peer, wire::Stamp};
use hyssop_policy::status as policy;

/// The maximum number of faults of a rejected value that the status lists.
const MAX_FAULTS: usize = 3;

/// The status that a daemon reports.
pub(crate) fn host(status: &peer::Status) -> status::Host {
    let Stamp { revision, digest } = status.document;
    let document = status::Published { revision, digest };
    let orders =
        status::Published { revision: status.orders.revision, digest: status.orders.digest() };
    status::Host {
        host: status.identity.host.clone(),
        zone: status.identity.zone.clone(),
        incarnation: status.identity.incarnation,
        caller_address: status.identity.caller_address,
        uptime_ms: status.uptime_ms,
        ready: status.ready,
        leaving: status.leaving,
        document: (revision > Revision(0)).then_some(document),
        orders,
        platform: status.platform_reached,
        rejected: status.rejection.as_ref().map(rejected),
        conflict: status.conflict.as_ref().map(rejected),
        running: status.running,
        traffic: traffic(&status.traffic),
        schedulers: status.groups.iter().map(scheduler).collect(),
    }
}

fn rejected(rejection: &Rejection) -> status::Rejected {
    status::Rejected {
        value: rejection.value.clone(),
        source: compact_str::format_compact!("{}", rejection.source),
        fault_count: rejection.faults.len() as u64,
        faults: rejection.faults.iter().take(MAX_FAULTS).cloned().collect(),
    }
}

fn scheduler(status: &policy::Status) -> status::Scheduler {
    let queues: BTreeMap<_, _> =
        status.classes.iter().map(|class| (class.name.clone(), class.waiting)).collect();
    status::Scheduler {
        group: status.group.clone(),
        votes: status.share.votes,
        listed: status.share.hosts,
        queues: queues
            .into_iter()
            .filter(|(_, waiting)| *waiting > 0)
            .map(|(class, waiting)| status::Queue { class, waiting })
            .collect(),
        backends: status.backends.iter().map(|entry| backend(entry, status.share)).collect(),
    }
}

fn backend(status: &policy::Backend, share: hyssop_policy::share::Share) -> status::Backend {
    status::Backend {
        backend: status.name.clone(),
        zone: status.zone.clone(),
        state: state(status),
        limit: status.limit,
        share: share.of(status.limit),
        running: status.running,
        reported: Some(status.reported),
    }
}

fn state(status: &policy::Backend) -> status::State {
    if !status.in_service {
        return status::State::Out;
    }
    if status.cold.is_some() {
        return status::State::Cold;
    }
    if status.straggler {
        return status::State::Slow;
    }
    status::State::Warm
}

fn traffic(traffic: &hyssop_peer::traffic::Traffic) -> status::Traffic {
    status::Traffic {
        datagrams_sent: traffic.datagrams_sent,
        datagrams_dropped: traffic.datagrams_dropped,
        udp_sent_bytes: traffic.udp_sent_bytes,
        messages_sent: traffic.messages_sent,
        tcp_sent_bytes: traffic.tcp_sent_bytes,
    }
}
