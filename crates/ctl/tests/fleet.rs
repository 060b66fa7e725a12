//! Output and exit code of commands that send requests to a daemon.

mod process;

use std::{fs, net::TcpListener};

use expect_test::expect;
use process::{
    Run,
    server::{KEY, TestServer},
};

async fn run(server: &TestServer, arguments: &[&str]) -> String {
    run_with_key(server, KEY, arguments).await
}

async fn run_with_key(server: &TestServer, key: &str, arguments: &[&str]) -> String {
    let run = Run::new(arguments)
        .env("HYSSOP_OPERATOR_KEY", key)
        .env("HYSSOP_SERVERS", &server.address.to_string());
    blocking(run).await
}

async fn blocking(run: Run) -> String {
    tokio::task::spawn_blocking(|| run.output()).await.expect("the run ends")
}

#[tokio::test]
async fn status() {
    let server = TestServer::start_default().await;
    expect![[r#"
        answered by h1
        partial: not reached: h2
        orders revision 4
        out of service: zones: south-2; hosts: none

        HOST  ZONE     ADDRESS         READY  LEAVING  DOCUMENT      ORDERS        RUNNING  UPTIME  INCARNATION
        h1    south-1  127.0.0.1:8001  yes    no       7 (7902699b)  4 (dab94b03)        2    1m1s  0019000000000001

        GROUP       SCHEDULER  VOTES  BACKENDS  RUNNING  WAITING
        drafting#0  h1           2/3         1        0  desk 5

        backend servers: 1 cold
        BACKEND   GROUP       ZONE     STATE  RUNNING  LIMIT  SHARE  REPORTED
        engine-1  drafting#0  south-1  cold         0      1      1         -
        exit 0
    "#]].assert_eq(&run(&server, &["status"]).await);
    let json = run(&server, &["status", "--json"]).await;
    assert!(json.contains("\"partial\": true"), "{json}");
}

#[tokio::test]
async fn orders() {
    let server = TestServer::start_default().await;
    expect![[r#"
        zone south-1 is out of service, orders revision 5
        in force on h1
        partial: not reached: h2
        out of service: zones: south-1, south-2; hosts: none
        exit 0
    "#]]
    .assert_eq(&run(&server, &["zone", "out", "south-1"]).await);
    expect![[r#"
        zone south-2 is in service, orders revision 5
        in force on h1
        partial: not reached: h2
        out of service: zones: none; hosts: none
        exit 0
    "#]]
    .assert_eq(&run(&server, &["zone", "in", "south-2"]).await);
    expect![[r#"
        conflict: nothing was changed, revision 4 is in force, not 3
        out of service: zones: south-2; hosts: none
        exit 1
    "#]]
    .assert_eq(&run(&server, &["host", "out", "h3", "--if-revision", "3"]).await);
    expect![[r#"
        unknown zone south-9: nothing was changed: the document in force has no availability zone south-9
        exit 1
    "#]].assert_eq(&run(&server, &["zone", "out", "south-9"]).await);
    let json = run(&server, &["--json", "zone", "out", "south-1"]).await;
    assert!(json.contains("\"outcome\": \"in_force\""), "{json}");
}

#[tokio::test]
async fn histograms() {
    let server = TestServer::start_default().await;
    expect![[r#"
        answered by h1; requests on h1, h3
        partial: not reached: h2

        CLASS  WORKSPACE  ANSWERED  ON TARGET  REFUSED  UNKNOWN  FAILED  FIRST p50  p95  p99  COMPLETE p50  p95  p99
        desk   (others)          6      66.7%        0        0       0        100  900  900             -    -    -
        times in ms

        desk (others) first token
        UP TO MS  COUNT
             100      4  ##################################################
             900      2  #########################
        exit 0
    "#]].assert_eq(&run(&server, &["histograms", "--buckets"]).await);
    expect![[r#"
        answered by h1; requests on h1, h3
        partial: not reached: h2
        no requests
        exit 0
    "#]]
    .assert_eq(&run(&server, &["histograms", "--class", "draft"]).await);
}

#[tokio::test]
async fn quarantine() {
    let server = TestServer::start_default().await;
    expect![[r#"
        FINGERPRINT       WORKSPACE  POOL  CRASHES  EXPIRES IN
        000000000000feed  builders   -           2       10m0s
        exit 0
    "#]]
    .assert_eq(&run(&server, &["quarantine"]).await);
    let release = ["quarantine", "release", "000000000000feed"];
    expect![[r#"
        000000000000feed may run again on h1
        partial: not reached: h2
        exit 0
    "#]]
    .assert_eq(&run(&server, &release).await);
    let release = ["quarantine", "release", "000000000000beef"];
    expect![[r#"
        000000000000beef is not quarantined
        exit 1
    "#]]
    .assert_eq(&run(&server, &release).await);
}

#[tokio::test]
async fn document() {
    let server = TestServer::start_default().await;
    let printed = run(&server, &["document"]).await;
    assert_eq!(printed, format!("{}\nexit 0\n", process::DOCUMENT));
}

#[tokio::test]
async fn keys() {
    let server = TestServer::start_default().await;
    let refused = run_with_key(&server, "wrong", &["document"]).await;
    let refused = refused.replace(&server.address.to_string(), "SERVER");
    expect![[r#"
        hyssopctl: SERVER refused: unauthorized: an operator's key is needed as a bearer token
        exit 1
    "#]]
    .assert_eq(&refused);

    let directory = tempfile::TempDir::new().unwrap();
    let file = directory.path().join("key");
    fs::write(&file, format!("{KEY}\n")).unwrap();
    let file = file.to_str().unwrap();
    let printed = run_with_key(&server, "wrong", &["quarantine", "--key-file", file]).await;
    assert!(printed.ends_with("exit 0\n"), "{printed}");
}

#[tokio::test]
async fn the_next_server_is_tried() {
    let server = TestServer::start_default().await;
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let servers = format!("127.0.0.1:1,{},{}", silent.local_addr().unwrap(), server.address);
    let arguments = ["quarantine", "--timeout", "1", "--server", &servers];
    let run = Run::new(&arguments).env("HYSSOP_OPERATOR_KEY", KEY);
    assert!(blocking(run).await.ends_with("exit 0\n"));

    let arguments = ["quarantine", "--timeout", "1", "--server", "127.0.0.1:1"];
    let run = Run::new(&arguments).env("HYSSOP_OPERATOR_KEY", KEY);
    expect![[r#"
        hyssopctl: no server answered: 127.0.0.1:1: Connection refused (os error 111)
        exit 2
    "#]]
    .assert_eq(&blocking(run).await);
}
