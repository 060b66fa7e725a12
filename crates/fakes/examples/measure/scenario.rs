//! The scenarios: what load comes, and what fails when.

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

use crate::shapes::{self, Deployment, ENGINES};

/// What happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, derive_more::Display)]
pub(crate) enum Scenario {
    /// Load at 70% of capacity.
    #[display("steady")]
    Steady,
    /// One class comes at several times the capacity.
    #[display("burst")]
    Burst,
    /// Short requests beside twice as many long ones.
    #[display("mixed")]
    Mixed,
    /// Two engines become six times slower.
    #[display("straggler")]
    Straggler,
    /// A quarter of the engines turn cold without notice.
    #[display("cold-start")]
    ColdStart,
    /// An availability zone leaves service, loses its engines, and comes back.
    #[display("zone-out")]
    ZoneOut,
    /// An engine crashes every second.
    #[display("crash")]
    Crash,
}

/// A fault of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    /// The engine becomes slower by a factor.
    Slow(usize, f64),
    /// The engine turns cold.
    Chill(usize),
    /// The engine crashes and restarts.
    Crash(usize),
    /// The engine goes down until it comes up.
    Down(usize),
    /// The engine comes up.
    Up(usize),
    /// The first availability zone goes out of service or comes back.
    Zone(bool),
}

impl Fault {
    pub(crate) async fn inject(&self, cluster: &Cluster) -> Result<()> {
        match *self {
            Self::Slow(index, factor) => {
                cluster.control_backend(index, "slow", &factor.to_string()).await?
            }
            Self::Chill(index) => cluster.control_backend(index, "cold", "").await?,
            Self::Crash(index) => cluster.control_backend(index, "crash", "").await?,
            Self::Down(index) => cluster.control_backend(index, "down", "").await?,
            Self::Up(index) => cluster.control_backend(index, "up", "").await?,
            Self::Zone(out) => return cluster.set_zone_out(&shape::zone(0), out).await,
        };
        Ok(())
    }
}

/// A run.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) deployment: Deployment,
    pub(crate) shape: Shape,
    pub(crate) engine: engine::Settings,
    pub(crate) mixes: Vec<ClassLoad>,
    pub(crate) workspaces: Vec<(name::Workspace, u32)>,
    pub(crate) faults: Vec<(Duration, Fault)>,
    /// The time over which requests are sent.
    pub(crate) time: Duration,
    /// The time at the start that is not reported.
    pub(crate) warm_up: Duration,
}

const WARM_UP: Duration = Duration::from_secs(4);
/// The factor on the rate of long requests in a burst of them: four times the capacity.
const LONG_BURST: f64 = 13.0;
/// The factor on the rate of short requests in a burst of them: two and a half times the capacity.
const SHORT_BURST: f64 = 20.0;

/// The plan of a scenario.
pub(crate) fn plan(deployment: Deployment, scenario: Scenario, time: Duration) -> Plan {
    let mut plan = Plan {
        deployment,
        shape: deployment.shape(),
        engine: shapes::engine(),
        mixes: deployment.mixes(),
        workspaces: shapes::workspaces(),
        faults: Vec::new(),
        time: WARM_UP + time,
        warm_up: WARM_UP,
    };
    let at = |percent: u32| WARM_UP + time * percent / 100;
    match scenario {
        Scenario::Steady => {}
        Scenario::Burst => {
            let class = deployment.bursting();
            let factor = if deployment == Deployment::Serrana { LONG_BURST } else { SHORT_BURST };
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
            let chilled = (0..ENGINES).step_by(4);
            plan.faults = chilled.map(|index| (at(20), Fault::Chill(index))).collect();
        }
        Scenario::ZoneOut => plan.faults = zone_out(&plan.shape, &at),
        Scenario::Crash => {
            let seconds = time.as_secs() as usize;
            let crash = |second: usize| {
                let at = WARM_UP + Duration::from_secs(second as u64);
                (at, Fault::Crash(second * 7 % ENGINES))
            };
            plan.faults = (1..seconds).map(crash).collect();
        }
    }
    plan
}

/// The zone goes out, its engines go down a while later, come up cold, and the zone comes back.
fn zone_out(shape: &Shape, at: &dyn Fn(u32) -> Duration) -> Vec<(Duration, Fault)> {
    let engines = shape.document.backends[..ENGINES].iter().enumerate();
    let gone = engines.filter(|(_, backend)| backend.zone == shape::zone(0));
    let gone: Vec<_> = gone.map(|(index, _)| index).collect();
    let all = |percent, fault: fn(usize) -> Fault| {
        gone.iter().map(move |&index| (at(percent), fault(index))).collect::<Vec<_>>()
    };
    let mut faults = vec![(at(15), Fault::Zone(true))];
    faults.extend(all(50, Fault::Down));
    faults.extend(all(65, Fault::Up));
    faults.push((at(70), Fault::Zone(false)));
    faults
}
