//! A daemon that has no file descriptor left for the connections of peers.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]
#![allow(clippy::print_stderr, reason = "a test prints its figures")]

mod support;

use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};
use support::{builder, deployment_slot};
use tokio::net::TcpStream;

/// The time between two tries of a listener to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const SHORTAGE: Duration = Duration::from_secs(1);
/// The log is written at intervals.
const LOG_DELAY: Duration = Duration::from_millis(500);

/// The failed connection stays in the accept queue, so that a listener that tries again at once
/// never waits, and fills the log.
#[tokio::test(flavor = "multi_thread")]
async fn a_shortage_of_file_descriptors_does_not_make_the_peers_listener_spin() {
    let _slot = deployment_slot().await;
    let cluster = builder(1).start().await.unwrap();
    let id = i32::try_from(cluster.daemons[0].id()).ok().and_then(Pid::from_raw).unwrap();
    let failures = || {
        let log = cluster.daemons[0].log();
        log.lines().filter(|line| line.contains("connection of a peer not accepted")).count()
    };
    let maximum = getrlimit(Resource::Nofile).maximum;
    let none_left = Rlimit { current: Some(1), maximum };
    let limit = prlimit(Some(id), Resource::Nofile, none_left).unwrap();
    let started = Instant::now();
    let peer = TcpStream::connect(cluster.shape().network.daemon(0).peer).await.unwrap();
    tokio::time::sleep(SHORTAGE).await;
    prlimit(Some(id), Resource::Nofile, limit).unwrap();
    let tries = 1 + started.elapsed().as_millis() / ACCEPT_RETRY_DELAY.as_millis();
    tokio::time::sleep(LOG_DELAY).await;
    let count = failures();
    assert!(count > 0, "{}", cluster.logs(20));
    assert!(count as u128 <= tries, "{count} failed tries where {tries} are allowed");
    drop(peer);
}
