//! Startup, operation and graceful stop of a daemon.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use hyssop_backend::client::Client;
use hyssop_caller::{
    home::Home,
    server::{Handle as CallerHandle, Server as CallerServer},
};
use hyssop_document::number::Incarnation;
use hyssop_operator::server::Server as OperatorServer;
use hyssop_peer::{Identity, Node};
use hyssop_published::{Key, client::Client as PlatformClient, reader};
use hyssop_timer::Service;
use tokio::{
    net::TcpListener,
    time::{Instant, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    adapt::{
        backends::Backends,
        directory::Directory,
        handler::{Handler, QueryHandler},
        loads::Loads,
        observer::Observer,
        permits::Permits,
        platform::Platform,
        quarantine::Quarantine,
    },
    gauges::Gauges,
    histogram::Registry,
    metrics::Metrics,
    settings::Settings,
};

/// The time within which a backend server must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The time within which a backend server must report its load.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);
/// The time within which the platform must respond, in addition to the wait time of a watch.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);
/// The time between two checks whether all schedulers are handed over.
const HAND_OVER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum wait for schedulers to be handed over.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);
/// The time between two checks whether all releases of permits are sent.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The maximum wait for releases to be sent. A call to a scheduler times out before it.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The error for an address that cannot be bound.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{address} cannot be bound: {error}")]
pub struct BindError {
    /// The settings field of the address.
    pub field: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// The error of the operating system.
    #[error(source)]
    pub error: io::Error,
}

/// The result of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// The number of requests aborted because they exceeded the stop limit: runs, or responses that
    /// callers had not read, whichever are more.
    pub aborted: usize,
}

/// A daemon with bound addresses.
pub struct Daemon {
    settings: Settings,
    node: Arc<Node>,
    home: Home,
    caller_server: CallerServer,
    operator_server: OperatorServer,
    platform: Arc<Platform>,
    gauges: Gauges,
    stop_callers: CancellationToken,
}

impl Daemon {
    /// Binds all addresses and joins the peers. Callers and operators are not served before
    /// [`Daemon::run`].
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn bind(settings: Settings) -> Result<Self, BindError> {
        let caller_listener = bind_tcp("caller_address", settings.caller_address).await?;
        let operator_listener = bind_tcp("operator_address", settings.operator_address).await?;
        let timer = Service::builder().start();
        let client = Client::new(CONNECT_TIMEOUT);
        let histograms = Arc::new(Registry::default());
        let node = start_node(&settings, &timer, &client, &histograms).await?;
        let quarantine = Arc::new(Quarantine::new(Arc::clone(&node)));
        let metrics = Arc::new(Metrics::new(settings.metrics_address, &settings.host));
        let observer = Observer { histograms, metrics: Arc::clone(&metrics) };
        let home = build_home(&settings, &node, client, observer, &quarantine);
        let gauges = Gauges::new(Arc::clone(&node), metrics, &timer);
        let handler = Handler { node: Arc::clone(&node), quarantine };
        let operator_server = OperatorServer::builder(operator_listener, Arc::new(handler))
            .keys(settings.operator_keys_sha256.clone())
            .build();
        let stop_callers = CancellationToken::new();
        let caller_server = CallerServer::builder(caller_listener, Arc::new(home.clone()))
            .stop(stop_callers.clone())
            .build();
        let platform = Arc::new(Platform { node: Arc::clone(&node) });
        Ok(Self {
            settings,
            node,
            home,
            caller_server,
            operator_server,
            platform,
            gauges,
            stop_callers,
        })
    }

    /// Serves until `stop` is cancelled, then stops gracefully.
    pub async fn run(self, stop: CancellationToken) -> Shutdown {
        let tasks = TaskTracker::new();
        let stop_background = CancellationToken::new();
        self.watch_platform(&tasks, &stop_background);
        tasks.spawn(self.gauges.run(stop_background.clone()));
        let callers = self.caller_server.handle();
        let caller_task = tokio::spawn(self.caller_server.run());
        tasks.spawn(self.operator_server.run(stop_background.clone()));
        log::info!(
            "daemon started host={} incarnation={} caller_address={} peer_address={} operator_address={}",
            self.settings.host,
            self.node.identity().incarnation,
            self.settings.caller_address,
            self.settings.peer_address,
            self.settings.operator_address,
        );
        stop.cancelled().await;
        let started = Instant::now();
        leave(&self.node, self.settings.addresses_lifetime).await;
        self.stop_callers.cancel();
        let remaining = self.settings.stop_limit.saturating_sub(started.elapsed());
        let drained = timeout(remaining, async {
            let _ended = caller_task.await;
            self.home.drain().await;
        });
        let aborted = match drained.await {
            Ok(()) => 0,
            Err(_) => abort(&callers, &self.home, self.settings.stop_limit),
        };
        send_releases(&self.node).await;
        stop_background.cancel();
        tasks.close();
        tasks.wait().await;
        log::info!("daemon stopped host={} cut_off={aborted}", self.settings.host);
        Shutdown { aborted }
    }

    fn watch_platform(&self, tasks: &TaskTracker, stop: &CancellationToken) {
        let Settings { platform_address, platform_prefix, .. } = &self.settings;
        let client = PlatformClient::new(*platform_address, platform_prefix, PLATFORM_TIMEOUT);
        for key in Key::ALL {
            let sink = Arc::clone(&self.platform);
            let reader = reader::Reader::new(client.clone(), key).seed(rand::random());
            tasks.spawn(reader.run(sink, stop.clone()));
        }
    }
}

/// Announces the stop to the peers, hands over the schedulers, and continues to serve callers until
/// every cached response of `/v1/addresses` has expired.
async fn leave(node: &Node, addresses_lifetime: Duration) {
    let end = Instant::now() + addresses_lifetime;
    node.leave();
    let handed_over = timeout(HAND_OVER_TIMEOUT, async {
        while !node.handed_over() {
            tokio::time::sleep(HAND_OVER_POLL_INTERVAL).await;
        }
    });
    if handed_over.await.is_err() {
        log::warn!("schedulers not handed over limit_ms={}", HAND_OVER_TIMEOUT.as_millis());
    }
    tokio::time::sleep_until(end).await;
}

/// Waits until the schedulers have the releases of permits. A release that ends with the process leaves its
/// permit counted until peers detect the end of the process, or until the permit's latest end.
async fn send_releases(node: &Node) {
    let sent = timeout(RELEASE_TIMEOUT, async {
        while !node.events_sent() {
            tokio::time::sleep(RELEASE_POLL_INTERVAL).await;
        }
    });
    if sent.await.is_err() {
        log::warn!("releases of permits not sent limit_ms={}", RELEASE_TIMEOUT.as_millis());
    }
}

/// Closes the connections of callers, and returns the number of requests that this aborts. No request is
/// taken afterwards, so that the number is final although the process still runs.
fn abort(callers: &CallerHandle, home: &Home, limit: Duration) -> usize {
    let (runs, responses) = (home.running(), callers.busy_count());
    callers.cut();
    log::warn!(
        "stop limit exceeded limit_ms={} runs={runs} responses={responses}",
        limit.as_millis()
    );
    runs.max(responses)
}

async fn bind_tcp(field: &'static str, address: SocketAddr) -> Result<TcpListener, BindError> {
    TcpListener::bind(address).await.map_err(|error| BindError { field, address, error })
}

async fn start_node(
    settings: &Settings,
    timer: &Arc<Service>,
    client: &Client,
    histograms: &Arc<Registry>,
) -> Result<Arc<Node>, BindError> {
    let identity = Identity {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        incarnation: new_incarnation(),
        caller_address: settings.caller_address,
        peer_address: settings.peer_address,
    };
    let loads = Arc::new(Loads { client: client.clone(), timeout: LOAD_TIMEOUT });
    let query_handler = Arc::new(QueryHandler { histograms: Arc::clone(histograms) });
    let node = Node::builder(identity, Arc::clone(timer), loads)
        .seeds(settings.peers.clone())
        .query_handler(query_handler)
        .start();
    let address = settings.peer_address;
    node.await.map_err(|error| BindError { field: "peer_address", address, error })
}

fn build_home(
    settings: &Settings,
    node: &Arc<Node>,
    client: Client,
    observer: Observer,
    quarantine: &Arc<Quarantine>,
) -> Home {
    let addresses_lifetime = settings.addresses_lifetime;
    let directory = Arc::new(Directory { node: Arc::clone(node), addresses_lifetime });
    let permits = Arc::new(Permits { node: Arc::clone(node) });
    let backends = Arc::new(Backends { client });
    let observer = Arc::new(observer);
    let quarantine = Arc::clone(quarantine);
    Home::builder(directory, permits, backends).observer(observer).quarantine(quarantine).build()
}

fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation::new(since_epoch.as_millis() as u64, rand::random())
}
