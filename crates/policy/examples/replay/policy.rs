//! Ways to choose an engine.

use std::{str::FromStr, time::Duration};

use hyssop_policy::local::{
    affinity,
    decider::{Decider, Decision, Placement},
    demand::Demand,
    latency::Backlog,
    server::{Load, Server},
};

/// A way to choose an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Policy {
    /// The product's decisions.
    #[display("local decisions")]
    Local,
    /// The engine with the fewest requests, by what daemons tell.
    #[display("least loaded")]
    LeastLoaded,
    /// The engine with the earliest predicted first event, as in the trial.
    #[display("expected finish")]
    ExpectedFinish,
    /// The first choice of the prompt's subject.
    #[display("hashing alone")]
    Hashing,
}

impl Policy {
    pub(crate) const ALL: [Self; 4] =
        [Self::Local, Self::LeastLoaded, Self::ExpectedFinish, Self::Hashing];

    /// Where a request goes. `loads` are those of all daemons, by what this one knows.
    pub(crate) fn place(
        self,
        decider: &mut Decider,
        engines: &[Server],
        loads: impl Fn(&Server) -> Load,
        demand: &Demand,
        now: std::time::Instant,
    ) -> Decision {
        if self == Self::Local {
            return decider.place_request(demand, now);
        }
        let usable = engines.iter().filter(|engine| !demand.excluded.contains(&engine.name));
        let cost = |engine: &Server| {
            let load = loads(engine);
            let queue = Backlog {
                pending_tokens: f64::from(load.pending_tokens),
                running: f64::from(load.running),
                slots: f64::from(engine.slots),
                slowness: 1.0,
            };
            let predicted = queue.time_to_first_event(f64::from(demand.prompt_tokens));
            let subject = demand.shared_prefix().map_or(0, |part| part.id);
            let order = match self {
                Self::Local | Self::LeastLoaded => u64::from(load.running),
                Self::ExpectedFinish => predicted.as_micros() as u64,
                Self::Hashing => u64::MAX - affinity::weight(engine.hash, subject),
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
            uncached_tokens: demand.prompt_tokens,
            load: loads(engine),
            reserved_engines: 0,
        })
    }
}

/// No policy has this name.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the policies are: local, least, finish, hashing")]
pub(crate) struct Unknown;

impl FromStr for Policy {
    type Err = Unknown;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "local" => Ok(Self::Local),
            "least" => Ok(Self::LeastLoaded),
            "finish" => Ok(Self::ExpectedFinish),
            "hashing" => Ok(Self::Hashing),
            _ => Err(Unknown),
        }
    }
}
