//! Placement policies.

use std::{str::FromStr, time::Duration};

use hyssop_policy::local::{
    affinity,
    decider::{Decider, Decision, Placement},
    demand::Demand,
    latency::{Backlog, Model},
    server::{Load, Server},
};

/// A policy that chooses the engine for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Policy {
    /// The daemon's own placement.
    #[display("local decisions")]
    Local,
    /// The daemon's own placement, with shares of workspaces and turns of refused callers.
    #[display("fair shares")]
    Fair,
    /// The same with shared measurements of speeds, which limit what an engine gets.
    #[display("shared speeds")]
    SharedSpeeds,
    /// The engine with the fewest requests, by the loads that daemons report.
    #[display("least loaded")]
    LeastLoaded,
    /// The engine with the earliest predicted first event.
    #[display("expected finish")]
    ExpectedFinish,
    /// The first choice of the shared prefix.
    #[display("hashing alone")]
    Hashing,
}

impl Policy {
    pub(crate) const ALL: [Self; 4] =
        [Self::Local, Self::LeastLoaded, Self::ExpectedFinish, Self::Hashing];

    /// Places a request. `loads` gives the load of all daemons, as observed by this daemon.
    pub(crate) fn place_request(
        self,
        decider: &mut Decider,
        engines: &[Server],
        loads: impl Fn(&Server) -> Load,
        demand: &Demand,
        now: std::time::Instant,
    ) -> Decision {
        if matches!(self, Self::Local | Self::Fair | Self::SharedSpeeds) {
            return decider.place_request(demand, now);
        }
        let usable = engines.iter().filter(|engine| !demand.excluded.contains(&engine.name));
        let cost = |engine: &Server| {
            let load = loads(engine);
            let backlog = Backlog {
                pending_tokens: f64::from(load.pending_tokens),
                running: f64::from(load.running),
                slots: f64::from(engine.slots),
                slowness: 1.0,
            };
            let predicted =
                Model::of_engines().time_to_first_event(&backlog, f64::from(demand.prompt_tokens));
            let prefix = demand.shared_prefix().map_or(0, |segment| segment.id);
            let order = match self {
                Self::Local | Self::Fair | Self::SharedSpeeds | Self::LeastLoaded => {
                    u64::from(load.running)
                }
                Self::ExpectedFinish => predicted.as_micros() as u64,
                Self::Hashing => u64::MAX - affinity::weight(engine.hash, prefix),
            };
            (order, predicted)
        };
        let best = usable.map(|engine| (cost(engine), engine)).min_by_key(|(cost, _)| cost.0);
        let Some(((_, predicted), engine)) = best else {
            return decider.place_request(demand, now);
        };
        Decision::Send(Placement {
            server: engine.name.clone(),
            predicted: predicted.max(Duration::from_millis(1)),
            overdue_after: demand.target * 2,
            uncached_tokens: demand.prompt_tokens,
            cache_source: None,
            load: loads(engine),
            reserved_engines: 0,
        })
    }
}

/// No policy has this name.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the policies are: local, fair, speeds, least, finish, hashing")]
pub(crate) struct UnknownPolicy;

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "local" => Ok(Self::Local),
            "fair" => Ok(Self::Fair),
            "speeds" => Ok(Self::SharedSpeeds),
            "least" => Ok(Self::LeastLoaded),
            "finish" => Ok(Self::ExpectedFinish),
            "hashing" => Ok(Self::Hashing),
            _ => Err(UnknownPolicy),
        }
    }
}
