//! Scenarios: the load of a run and the schedule of its faults.

use std::time::Duration;

use anyhow::Result;
use clap::ValueEnum;
use hyssop_document::name;
use hyssop_fakes::{
    cluster::Cluster,
    engine,
    load::ClassLoad,
    shape::{self, Shape},
};

use crate::shapes::{self, Deployment, ENGINE_COUNT};

/// The kind of load and faults in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, derive_more::Display)]
pub(crate) enum Scenario {
    /// Load at 70% of capacity.
    #[display("steady")]
    Steady,
    /// One class at several times the capacity.
    #[display("burst")]
    Burst,
    /// Long requests at twice their usual rate, beside the short ones.
    #[display("mixed")]
    Mixed,
    /// Two engines slow down by a factor of six.
    #[display("straggler")]
    Straggler,
    /// A quarter of the engines turn cold unannounced.
    #[display("cold-start")]
    ColdStart,
    /// An availability zone is taken out of service, loses its engines and returns.
    #[display("zone-out")]
    ZoneOut,
    /// An engine crashes every second.
    #[display("crash")]
    Crash,
}

/// An injected fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    /// Slows the engine of this index down by a factor.
    Slow(usize, f64),
    /// Turns the engine cold.
    TurnCold(usize),
    /// Crashes the engine, which then restarts.
    Crash(usize),
    /// Stops the engine until [`Fault::Up`].
    Down(usize),
    /// Starts the stopped engine.
    Up(usize),
    /// Takes the first availability zone out of service (`true`) or back into service.
    ZoneOut(bool),
}

impl Fault {
    pub(crate) async fn inject(&self, cluster: &Cluster) -> Result<()> {
        match *self {
            Self::Slow(index, factor) => {
                cluster.control_backend(index, "slow", &factor.to_string()).await?
            }
            Self::TurnCold(index) => cluster.control_backend(index, "cold", "").await?,
            Self::Crash(index) => cluster.control_backend(index, "crash", "").await?,
            Self::Down(index) => cluster.control_backend(index, "down", "").await?,
            Self::Up(index) => cluster.control_backend(index, "up", "").await?,
            Self::ZoneOut(out) => return cluster.set_zone_out(&shape::zone(0), out).await,
        };
        Ok(())
    }
}

/// The deployment, load and faults of a run.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) deployment: Deployment,
    pub(crate) shape: Shape,
    pub(crate) engine: engine::Settings,
    pub(crate) mixes: Vec<ClassLoad>,
    pub(crate) workspaces: Vec<(name::Workspace, u32)>,
    pub(crate) faults: Vec<(Duration, Fault)>,
    /// The time over which requests are sent, with the warm-up.
    pub(crate) time: Duration,
    /// The time at the start that the metrics leave out.
    pub(crate) warm_up: Duration,
}

const WARM_UP_TIME: Duration = Duration::from_secs(4);
/// The factor on the rate of long requests in a burst, to reach four times the capacity.
const LONG_BURST_FACTOR: f64 = 13.0;
/// The factor on the rate of short requests in a burst, to reach 2.5 times the capacity.
const SHORT_BURST_FACTOR: f64 = 20.0;

pub(crate) fn plan(deployment: Deployment, scenario: Scenario, time: Duration) -> Plan {
    let mut plan = Plan {
        deployment,
        shape: deployment.shape(),
        engine: shapes::engine(),
        mixes: deployment.mixes(),
        workspaces: shapes::workspaces(),
        faults: Vec::new(),
        time: WARM_UP_TIME + time,
        warm_up: WARM_UP_TIME,
    };
    let at = |percent: u32| WARM_UP_TIME + time * percent / 100;
    match scenario {
        Scenario::Steady => {}
        Scenario::Burst => {
            let class = deployment.burst_class();
            let factor = if deployment == Deployment::Serrana {
                LONG_BURST_FACTOR
            } else {
                SHORT_BURST_FACTOR
            };
            for mix in plan.mixes.iter_mut().filter(|mix| mix.class.as_str() == class) {
                mix.burst = Some((at(10), at(80), factor));
            }
        }
        Scenario::Mixed => {
            for mix in plan.mixes.iter_mut().filter(|mix| mix.tokens.1 > 100) {
                mix.burst = Some((at(0), at(100), 2.0));
            }
        }
        Scenario::Straggler => {
            plan.faults = vec![(at(20), Fault::Slow(0, 6.0)), (at(20), Fault::Slow(5, 6.0))];
        }
        Scenario::ColdStart => {
            let turned_cold = (0..ENGINE_COUNT).step_by(4);
            plan.faults = turned_cold.map(|index| (at(20), Fault::TurnCold(index))).collect();
        }
        Scenario::ZoneOut => plan.faults = zone_out(&plan.shape, &at),
        Scenario::Crash => {
            let seconds = time.as_secs() as usize;
            let crash = |second: usize| {
                let at = WARM_UP_TIME + Duration::from_secs(second as u64);
                (at, Fault::Crash(second * 7 % ENGINE_COUNT))
            };
            plan.faults = (1..seconds).map(crash).collect();
        }
    }
    plan
}

/// Takes the first availability zone out of service, then stops its engines, restarts them cold and
/// puts the zone back.
fn zone_out(shape: &Shape, at: &dyn Fn(u32) -> Duration) -> Vec<(Duration, Fault)> {
    let engines = shape.document.backends[..ENGINE_COUNT].iter().enumerate();
    let affected = engines.filter(|(_, backend)| backend.zone == shape::zone(0));
    let affected: Vec<_> = affected.map(|(index, _)| index).collect();
    let each_engine = |percent, fault: fn(usize) -> Fault| {
        affected.iter().map(move |&index| (at(percent), fault(index))).collect::<Vec<_>>()
    };
    let mut faults = vec![(at(15), Fault::ZoneOut(true))];
    faults.extend(each_engine(50, Fault::Down));
    faults.extend(each_engine(65, Fault::Up));
    faults.push((at(70), Fault::ZoneOut(false)));
    faults
}
