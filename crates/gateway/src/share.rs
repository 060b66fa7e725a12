//! What the daemon tells its peers, and what it takes from them.

use std::{
    cmp::Reverse,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use hyssop_view::{
    gossip::LocalState,
    heartbeat::{Heartbeat, LoadEntry, Phase, name_hash},
    member::WatcherCandidate,
    record::Revision,
    sync,
};

use parking_lot::Mutex;

use crate::{
    gateway::{Gateway, Settings},
    knowledge::Origin,
};

/// How long a peer may have a newer revision before its records are fetched. The source usually
/// tells all daemons within this time.
const LAG: Duration = Duration::from_millis(250);
/// The largest number of loads in one heartbeat.
const MAX_LOADS: usize = 48;

/// The daemon's side of the exchange with its peers.
pub struct Share {
    gateway: Arc<Gateway>,
    /// The port of peers.
    port: u16,
    behind: Mutex<Option<Behind>>,
}

impl Share {
    /// The side of `gateway`, whose peers listen on `port`.
    pub fn new(gateway: Arc<Gateway>, port: u16) -> Arc<Self> {
        Arc::new(Self { gateway, port, behind: Mutex::default() })
    }

    /// Takes whether any other daemon follows the source, which this one does not: only when none does
    /// is the source in trouble.
    fn judge_source(&self, followed: bool, now: Instant) {
        let knowledge = &self.gateway.knowledge;
        if followed {
            if let Some(gone) = knowledge.source_back(now) {
                let gone_ms = gone.as_millis() as u64;
                tracing::info!(event = "source_back", gone_ms, followed);
            }
        } else if knowledge.is_source_up() && knowledge.snapshot().environment.is_some() {
            tracing::warn!(event = "source_lost", fault = "nobody follows it", followed);
            knowledge.source_lost(now);
        }
    }

    /// Fetches the records of a peer that has newer ones than this daemon has had for a while, or that
    /// can tell this daemon what holds after it stood still.
    fn catch_up(&self, from: IpAddr, heartbeat: &Heartbeat, now: Instant) {
        let knowledge = &self.gateway.knowledge;
        let applied = knowledge.snapshot().applied;
        let suspended = knowledge.is_suspended();
        let useful =
            if suspended { heartbeat.phase == Phase::Ready } else { heartbeat.applied > applied };
        if !useful {
            return;
        }
        let mut behind = self.behind.lock();
        let since = match *behind {
            Some(known) if known.applied == applied => known.since,
            _ => {
                *behind = Some(Behind { applied, since: now });
                now
            }
        };
        // A source that is away tells nothing, so that there is nothing to wait for.
        // Those who follow it hear of a change at the same time; a peer of the zone costs less than
        // one that is further away.
        let near = heartbeat.zone == self.gateway.settings.zone;
        let expected = applied != Revision::default()
            && !suspended
            && (self.gateway.follows() || knowledge.is_source_up() && !near);
        let first = since == now && !expected;
        if !first && now.duration_since(since) < LAG {
            return;
        }
        // The next fetch waits as long again, so there are few at a time.
        *behind = Some(Behind { applied, since: now });
        let gateway = Arc::clone(&self.gateway);
        let address = SocketAddr::new(from, self.port);
        let fetch = Fetch { gateway, address, after: applied, suspended };
        tokio::spawn(async move { fetch.run().await });
    }
}

/// Since when peers are ahead of what this daemon has applied.
#[derive(Debug, Clone, Copy)]
struct Behind {
    applied: Revision,
    since: Instant,
}

struct Fetch {
    gateway: Arc<Gateway>,
    address: SocketAddr,
    after: Revision,
    /// Whether this daemon stood still before it asked, and trusts nothing since.
    suspended: bool,
}

impl Fetch {
    async fn run(&self) {
        let peer = self.address.ip();
        match sync::fetch(self.address, self.after).await {
            Ok(records) => {
                let count = records.len();
                let now = Instant::now();
                let changed = self.gateway.knowledge.apply(records, Origin::Peer, now);
                tracing::info!(event = "records_from_peer", %peer, after = %self.after, count, changed);
                // The answer was made after this daemon woke.
                if self.suspended && self.gateway.knowledge.is_suspended() {
                    self.gateway.knowledge.suspend(false);
                    tracing::info!(event = "resumed", %peer);
                }
                if changed {
                    self.gateway.reconfigure();
                }
            }
            Err(error) => tracing::warn!(event = "records_not_fetched", %peer, %error),
        }
    }
}

impl LocalState for Share {
    fn heartbeat(&self) -> Heartbeat {
        let gateway = &self.gateway;
        let now = Instant::now();
        let mut loads = gateway.decider.lock().own_loads(now);
        if loads.len() > MAX_LOADS {
            // What is left out counts as nothing for peers, so the least goes first.
            loads.sort_by_key(|(_, load, cold)| Reverse((*cold, load.running)));
            loads.truncate(MAX_LOADS);
        }
        Heartbeat {
            host: gateway.settings.host.clone(),
            zone: gateway.settings.zone.clone(),
            incarnation: gateway.settings.incarnation,
            caller_address: gateway.settings.caller_address,
            phase: gateway.phase(),
            weight: gateway.settings.weight,
            applied: gateway.knowledge.snapshot().applied,
            watches_source: gateway.follows(),
            converged: false,
            members: Vec::new(),
            loads: loads.into_iter().map(LoadEntry::from).collect(),
            blames: gateway.suspects.lock().told(now),
        }
    }

    fn on_heartbeat(&self, from: IpAddr, heartbeat: &Heartbeat, now: Instant) {
        let told: Vec<_> = heartbeat.loads.iter().copied().map(Into::into).collect();
        self.gateway.decider.lock().peer(from, &told, now);
        if !heartbeat.blames.is_empty() {
            self.gateway.suspects.lock().merge(&heartbeat.blames, now);
        }
        self.catch_up(from, heartbeat, now);
    }

    fn tick(&self, now: Instant) {
        let gateway = &self.gateway;
        if gateway.knowledge.tick(now) {
            gateway.reconfigure();
        }
        let Settings { host, zone, weight, .. } = &gateway.settings;
        let own = name_hash(host.as_str());
        let (mut members, converged) = {
            let table = gateway.members.lock();
            let candidate = WatcherCandidate { host_hash: own, zone, weight: *weight };
            gateway.set_role(table.role(&candidate, now));
            if !gateway.follows() {
                self.judge_source(table.is_source_watched(now), now);
            }
            (table.share_holders(now), table.has_converged(now))
        };
        if let Err(at) = members.binary_search(&own) {
            members.insert(at, own);
        }
        let mut decider = gateway.decider.lock();
        decider.set_members(members, converged);
        decider.expire(now);
    }
}
