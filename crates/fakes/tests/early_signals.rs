//! Signals that arrive before the daemon has read its settings. Without a handler, they end the process,
//! and nothing is left in order.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::{fs::File, io::Write as _, path::Path, time::Duration};

use hyssop_fakes::process::Process;
use rustix::{
    fs::{CWD, FileType, Mode, mknodat},
    process::{Pid, Signal, kill_process},
};
use tempfile::TempDir;

/// Three addresses, so that no two settings are equal.
const SETTINGS: &str = r#"{
    "host": "h1", "zone": "z1", "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.2:0",
    "operator_address": "127.0.0.3:0", "platform_address": "127.0.0.1:1",
    "platform_prefix": "none", "operator_keys_sha256": [], "addresses_lifetime_ms": 0
}"#;
const TIMEOUT: Duration = Duration::from_secs(20);

/// Sends `signal` while the daemon waits for the text of its settings.
async fn leaves_in_order(signal: Signal) {
    let directory = TempDir::new().unwrap();
    let path = directory.path().join("settings.json");
    mknodat(CWD, &path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).unwrap();
    let args = vec!["daemon".into(), "--settings".into(), path.clone().into()];
    let log = directory.path().join("daemon.log");
    let mut daemon = Process::start(Path::new(env!("CARGO_BIN_EXE_node")), args, log).unwrap();
    // Returns when the daemon has opened the pipe to read.
    let mut pipe = File::options().write(true).open(&path).unwrap();
    let id = i32::try_from(daemon.id()).ok().and_then(Pid::from_raw).unwrap();
    kill_process(id, signal).unwrap();
    // The daemon may have been ended by the signal.
    drop(pipe.write_all(SETTINGS.as_bytes()));
    drop(pipe);
    let status = daemon.wait(TIMEOUT).await.unwrap();
    assert!(status.success(), "{status}\n{}", daemon.log());
    assert!(daemon.log().contains("daemon stopped host=h1"), "{}", daemon.log());
}

#[tokio::test]
async fn a_termination_before_the_settings_are_read_stops_the_daemon_in_order() {
    leaves_in_order(Signal::TERM).await;
}

#[tokio::test]
async fn an_interrupt_before_the_settings_are_read_stops_the_daemon_in_order() {
    leaves_in_order(Signal::INT).await;
}
