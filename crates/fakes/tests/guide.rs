//! Runs each command in `docs/GUIDE.md` as printed there against a deployment.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]
#![allow(clippy::print_stderr, reason = "a test prints its figures")]

mod support;

use std::{fs, path::Path, process::Command, time::Duration};

use hyssop_fakes::shape::OPERATOR_KEY;
use support::{builder, deployment_slot, scheduler_index, source, under_load};
use tempfile::TempDir;

const GUIDE: &str = include_str!("../../../docs/GUIDE.md");

/// The `hyssopctl` commands in indented blocks, in the order of the page.
fn commands() -> Vec<&'static str> {
    let lines = GUIDE.lines().filter(|line| line.starts_with("    "));
    lines.map(str::trim).filter(|line| line.starts_with("hyssopctl ")).collect()
}

async fn run(command: &'static str, servers: &str, directory: &Path) -> (i32, String) {
    let mut process = Command::new(env!("CARGO_BIN_EXE_node"));
    process
        .arg("ctl")
        .args(command.split_whitespace().skip(1))
        .env("HYSSOP_SERVERS", servers)
        .env("HYSSOP_OPERATOR_KEY", OPERATOR_KEY)
        .current_dir(directory);
    let output = tokio::task::spawn_blocking(move || process.output()).await.unwrap().unwrap();
    let printed = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(printed).unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn every_command_works_as_printed() {
    let _slot = deployment_slot().await;
    let mut cluster = builder(3).start().await.unwrap();
    scheduler_index(&cluster, "desk").await;
    under_load(&mut cluster, &source(3, Duration::from_secs(1)), async |_| {}).await;

    let directory = TempDir::new().unwrap();
    fs::write(directory.path().join("document.json"), cluster.shape().bytes()).unwrap();
    let mut next = cluster.shape().document.clone();
    next.revision.0 += 1;
    next.pools[0].warm_limit += 1;
    let next = serde_json::to_vec(&next).unwrap();
    fs::write(directory.path().join("next.json"), next).unwrap();

    let operator = |index| cluster.shape().network.daemon(index).operator.to_string();
    let servers = [operator(0), operator(1), operator(2)].join(",");
    let commands = commands();
    assert!(commands.len() > 12, "{commands:?}");
    for command in commands {
        let (code, printed) = run(command, &servers, directory.path()).await;
        assert_eq!(code, 0, "{command}\n{printed}\n{}", cluster.logs(20));
        assert!(!printed.contains("partial"), "{command}\n{printed}");
    }
}
