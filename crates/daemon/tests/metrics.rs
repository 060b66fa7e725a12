//! Every metric that a daemon sends is documented in `docs/METRICS.md`.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use clap::Parser as _;
use hyssop_daemon::{
    histogram::{End, Sample},
    metrics::Metrics,
    run::Daemon,
    settings::{Flags, Settings},
};
use hyssop_document::name;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

const PAGE: &str = include_str!("../../../docs/METRICS.md");
const TIMEOUT: Duration = Duration::from_secs(20);

/// Receives metrics until the metric `last` has arrived, and returns the names of all.
async fn names_until(socket: &UdpSocket, last: &str) -> BTreeSet<String> {
    let end = Instant::now() + TIMEOUT;
    let mut names = BTreeSet::new();
    let mut buffer = vec![0; 65_536];
    while !names.contains(last) {
        assert!(Instant::now() < end, "{last} is not among {names:?}");
        let received = tokio::time::timeout(TIMEOUT, socket.recv(&mut buffer)).await;
        let length = received.expect("metrics arrive in time").expect("the socket is open");
        let text = std::str::from_utf8(&buffer[..length]).expect("metrics are text");
        for line in text.lines() {
            let name = line.strip_prefix("hyssopcourse.").expect("a metric has the prefix");
            names.insert(name.split(':').next().unwrap_or_default().to_owned());
        }
    }
    names
}

fn check_documented(names: &BTreeSet<String>) {
    for name in names {
        assert!(PAGE.contains(&format!("| `{name}` | ")), "{name} is not on the page");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn state_metrics_are_documented() {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let metrics = socket.local_addr().unwrap();
    let settings = format!(
        r#"{{"host": "h1", "zone": "z1", "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.2:0", "operator_address": "127.0.0.3:0",
            "platform_address": "127.0.0.1:1", "platform_prefix": "none",
            "operator_keys_sha256": [], "metrics_address": "{metrics}"}}"#
    );
    let flags = Flags::try_parse_from(["hyssopcourse", "--settings", "none"]).unwrap();
    let settings = Settings::parse(settings.as_bytes(), &flags).unwrap();
    let daemon = Daemon::bind(settings).await.unwrap();
    let stop = CancellationToken::new();
    let running = tokio::spawn(daemon.run(stop.clone()));
    let names = names_until(&socket, "permits").await;
    assert!(names.contains("platform_reached") && names.contains("document_rejected"));
    check_documented(&names);
    running.abort();
}

#[tokio::test]
async fn request_metrics_are_documented() {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let metrics = Metrics::new(Some(socket.local_addr().unwrap()), &name::Host::new("h1"));
    let sample = Sample {
        end: End::Completed,
        first_token: Some(Duration::from_millis(90)),
        complete: Duration::from_millis(900),
        on_target: true,
    };
    metrics.record_request(&name::Class::new("desk"), &name::Workspace::new("builders"), &sample);
    for counter in ["tokens", "wasted_tokens", "dropped_parts", "retries"] {
        metrics.count(counter, 1);
    }
    // Metrics are sent when a datagram is full or the sink is dropped.
    drop(metrics);
    let names = names_until(&socket, "retries").await;
    assert_eq!(names.len(), 8, "{names:?}");
    check_documented(&names);
}
