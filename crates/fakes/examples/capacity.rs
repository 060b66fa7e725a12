//! Measures the control overhead of a daemon, by number of daemons and by load.
//!
//! Each daemon is a process of its own. CPU time and memory come from the operating system, traffic
//! from the daemons' status, and platform calls from the stand-in platform.

use std::{
    io::{self, Write},
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Context, Result};
use clap::Parser;
use hyper::Method;
use hyssop_document::name;
use hyssop_fakes::{
    client,
    cluster::{Builder, Cluster},
    engine,
    history::History,
    load::{ClassLoad, RetryPolicy, Schedule, run},
    shape::{self, Shape},
};
use serde_json::Value;

/// The first argument with which this program starts copies of itself as daemons and stand-ins.
const NODE_ARGUMENT: &str = "--attached";
/// The time for the fleet to converge before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const SEED: u64 = 1;
/// `/proc/PID/stat` counts CPU time in clock ticks.
const CPU_TICKS_PER_S: f64 = 100.0;

#[derive(Debug, Parser)]
#[command(about = "Measures the control overhead of a daemon")]
struct Flags {
    /// The numbers of daemons to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 6, 9, 16])]
    daemons: Vec<usize>,
    /// The request rates to measure, per second over all daemons.
    #[arg(long, value_delimiter = ',', default_values_t = [0.0, 50.0, 200.0])]
    rates: Vec<f64>,
    /// The time of each measurement in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// The number of workspaces in the document.
    #[arg(long, default_value_t = 10)]
    workspaces: usize,
    /// The number of engines.
    #[arg(long, default_value_t = 20)]
    engines: usize,
}

fn main() -> ExitCode {
    let started_as_node = std::env::args().nth(1).is_some_and(|first| first == NODE_ARGUMENT);
    if started_as_node {
        return hyssop_fakes::node::main(std::env::args_os());
    }
    match measure(&Flags::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _written = writeln!(io::stderr(), "capacity: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn measure(flags: &Flags) -> Result<()> {
    let mut out = io::stdout();
    writeln!(
        out,
        "daemons requests/s  cpu %  rss MB  udp B/s  tcp B/s  datagrams/s  messages/s  platform calls/s  watches  peak"
    )?;
    for &daemons in &flags.daemons {
        for &rate in &flags.rates {
            let row = measure_row(flags, daemons, rate).await?;
            writeln!(out, "{daemons:7} {rate:10.0} {row}")?;
        }
    }
    Ok(())
}

/// The overhead of one daemon, as the mean over all; the platform's load is a total.
struct Row {
    cpu_percent: f64,
    rss_mb: f64,
    udp_bytes: f64,
    tcp_bytes: f64,
    datagrams: f64,
    messages: f64,
    platform: PlatformLoad,
}

/// Calls to the stand-in platform from all daemons.
#[derive(Debug, Clone, Copy)]
struct PlatformLoad {
    /// The number of calls; in a [`Row`], calls per second.
    calls: f64,
    /// Watches that are waiting.
    waiting: f64,
    /// The peak load in a second since the start: calls begun plus watches waiting.
    peak: f64,
}

impl std::fmt::Display for Row {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { cpu_percent, rss_mb, udp_bytes, tcp_bytes, datagrams, messages, platform } =
            self;
        let PlatformLoad { calls, waiting, peak } = platform;
        write!(
            f,
            "{cpu_percent:6.2} {rss_mb:7.1} {udp_bytes:8.0} {tcp_bytes:8.0} {datagrams:12.1} \
             {messages:11.1} {calls:17.2} {waiting:8.0} {peak:5.0}"
        )
    }
}

async fn measure_row(flags: &Flags, daemons: usize, rate: f64) -> Result<Row> {
    let shape = (0..flags.workspaces)
        .fold(deployment(flags.engines), |shape, index| shape.workspace(&format!("w{index}"), 1));
    let program = std::env::current_exe()?;
    let engine = engine::Settings { cold_start: false, ..engine::Settings::default() };
    let builder = Builder::new(program, shape).daemons(daemons);
    let cluster = builder.engine(engine).start().await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = Counts::read(&cluster).await?;
    let time = Duration::from_secs_f64(flags.seconds);
    load(&cluster, rate, time).await;
    let after = Counts::read(&cluster).await?;
    Ok(after.since(&before, daemons as f64))
}

fn deployment(engines: usize) -> Shape {
    Shape::new("capacity", 3)
        .class(shape::class("question", 2, 2_000, 8_000))
        .pool(shape::model("desk", 8), engines)
}

async fn load(cluster: &Cluster, rate: f64, time: Duration) {
    let end = Instant::now() + time;
    if rate > 0.0 {
        let mix = ClassLoad {
            class: name::Class::new("question"),
            pool: name::Pool::new("desk"),
            call: false,
            idempotent: true,
            per_s: rate,
            burst: None,
            tokens: (4, 8),
            words: 20,
            deadline_ms: 8_000,
        };
        let workspaces = [(name::Workspace::new("w0"), 1)];
        let source = Schedule::generate(SEED, time, &[mix], &workspaces);
        run(&source, &cluster.caller_addresses(), &Arc::new(History::default()), RetryPolicy::NONE)
            .await;
    }
    tokio::time::sleep_until(end.into()).await;
}

/// A reading of all counters, summed over the daemons.
struct Counts {
    at: Instant,
    cpu_ticks: f64,
    rss_mb: f64,
    udp_bytes: f64,
    tcp_bytes: f64,
    datagrams: f64,
    messages: f64,
    platform: PlatformLoad,
}

impl Counts {
    async fn read(cluster: &Cluster) -> Result<Self> {
        let (_, status) = cluster.call_operator(0, Method::GET, "/v1/status", &Value::Null).await?;
        let hosts = status["hosts"].as_array().context("the status has no hosts")?;
        let sum = |field: &str| -> f64 {
            hosts.iter().filter_map(|host| host["traffic"][field].as_f64()).sum()
        };
        let mut counts = Self {
            at: Instant::now(),
            cpu_ticks: 0.0,
            rss_mb: 0.0,
            udp_bytes: sum("udp_sent_bytes"),
            tcp_bytes: sum("tcp_sent_bytes"),
            datagrams: sum("datagrams_sent"),
            messages: sum("messages_sent"),
            platform: platform_load(cluster).await?,
        };
        for daemon in &cluster.daemons {
            let (cpu_ticks, rss_mb) = process_usage(daemon.id())?;
            counts.cpu_ticks += cpu_ticks;
            counts.rss_mb += rss_mb;
        }
        Ok(counts)
    }

    fn since(&self, before: &Self, daemons: f64) -> Row {
        let time_s = self.at.duration_since(before.at).as_secs_f64();
        let rate = |after: f64, before: f64| (after - before) / time_s / daemons;
        Row {
            cpu_percent: 100.0 * rate(self.cpu_ticks, before.cpu_ticks) / CPU_TICKS_PER_S,
            rss_mb: self.rss_mb / daemons,
            udp_bytes: rate(self.udp_bytes, before.udp_bytes),
            tcp_bytes: rate(self.tcp_bytes, before.tcp_bytes),
            datagrams: rate(self.datagrams, before.datagrams),
            messages: rate(self.messages, before.messages),
            platform: PlatformLoad {
                calls: rate(self.platform.calls, before.platform.calls) * daemons,
                ..self.platform
            },
        }
    }
}

async fn platform_load(cluster: &Cluster) -> Result<PlatformLoad> {
    let (_, control) = cluster.shape().network.platform();
    let calls: Value = serde_json::from_slice(&client::get(control, "/control/calls").await?)?;
    let count = |field: &str| calls[field].as_f64().context("a call counter is missing");
    Ok(PlatformLoad { calls: count("total")?, waiting: count("waiting")?, peak: count("peak")? })
}

/// The CPU time of a process in clock ticks and its resident memory in megabytes.
fn process_usage(process: u32) -> Result<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').context("/proc/PID/stat has no program name")?;
    let fields: Vec<_> = fields.split_whitespace().collect();
    let field = |position: usize| -> Result<f64> {
        Ok(fields.get(position).context("/proc/PID/stat has too few fields")?.parse()?)
    };
    const PAGE_MB: f64 = 4096.0 / 1e6;
    Ok((field(11)? + field(12)?, field(21)? * PAGE_MB))
}
