//! Every path of the administration API, with valid and invalid requests.

mod common;

use common::{DOCUMENT, KEY, TestServer};
use expect_test::{Expect, expect};

async fn check(server: &TestServer, request: (&str, &str, &str), expected: &Expect) {
    let (method, path, body) = request;
    expected.assert_eq(&server.call(method, path, body).await);
}

#[tokio::test]
async fn read_paths_respond_with_json() {
    let server = TestServer::start_default().await;
    check(&server, ("GET", "/v1/status", ""), &expect![[r#"
        HTTP/1.1 200 OK
        {"answered_by":"h1","partial":true,"not_reached":["h2"],"orders":{"revision":4,"zones_out":["south-2"],"hosts_out":[]},"hosts":[{"host":"h1","zone":"south-1","incarnation":"0019000000000001","caller_address":"127.0.0.1:8001","uptime_ms":61000,"ready":true,"leaving":false,"document":{"revision":7,"digest":"7902699be42c8a8e46fbbb4501726517e86b22c56a189f7625a6da49081b2451"},"orders":{"revision":4,"digest":"dab94b0393ab3572c6c935aea83c30dd4ea0411877d0cda5131c4626422cb8e9"},"platform":true,"rejected":null,"conflict":null,"running":2,"traffic":{"datagrams_sent":0,"datagrams_dropped":0,"udp_sent_bytes":0,"messages_sent":0,"tcp_sent_bytes":0},"schedulers":[{"group":{"pool":"drafting","index":0},"votes":2,"listed":3,"queues":[{"class":"desk","waiting":5}],"backends":[{"backend":"engine-1","zone":"south-1","state":"cold","limit":1,"share":1,"running":0,"reported":null}]}]}]}"#]]).await;
    check(
        &server,
        ("GET", "/v1/orders", ""),
        &expect![[r#"
        HTTP/1.1 200 OK
        {"revision":4,"zones_out":["south-2"],"hosts_out":[]}"#]],
    )
    .await;
    check(&server, ("GET", "/v1/histograms", ""), &expect![[r#"
        HTTP/1.1 200 OK
        {"answered_by":"h1","partial":true,"hosts":["h1","h3"],"not_reached":["h2"],"rows":[{"class":"desk","workspace":null,"answered":6,"on_target":4,"refused":0,"unknown":0,"failed":0,"first_token":{"buckets":[{"up_to_ms":100,"count":4},{"up_to_ms":900,"count":2}]},"complete":{"buckets":[]}}]}"#]]).await;
    check(&server, ("GET", "/v1/quarantine", ""), &expect![[r#"
        HTTP/1.1 200 OK
        {"entries":[{"fingerprint":"000000000000feed","workspace":"builders","pool":null,"crashes":2,"expires_in_ms":600000}]}"#]]).await;
    let document = server.call("GET", "/v1/document", "").await;
    assert_eq!(document, format!("HTTP/1.1 200 OK\n{DOCUMENT}"));
}

#[tokio::test]
async fn orders_are_applied_or_refused() {
    let server = TestServer::start_default().await;
    let order = r#"{"target": {"zone": "south-1"}, "out": true, "if_revision": 4}"#;
    check(&server, ("POST", "/v1/orders", order), &expect![[r#"
        HTTP/1.1 200 OK
        {"outcome":"in_force","state":{"revision":5,"zones_out":["south-1","south-2"],"hosts_out":[]},"in_force":["h1"],"not_reached":["h2"],"partial":true}"#]]).await;
    let old = r#"{"target": {"zone": "south-1"}, "out": true, "if_revision": 3}"#;
    check(&server, ("POST", "/v1/orders", old), &expect![[r#"
        HTTP/1.1 409 Conflict
        {"outcome":"conflict","if_revision":3,"state":{"revision":4,"zones_out":["south-2"],"hosts_out":[]}}"#]]).await;
    let unknown = r#"{"target": {"zone": "south-9"}, "out": true}"#;
    check(&server, ("POST", "/v1/orders", unknown), &expect![[r#"
        HTTP/1.1 404 Not Found
        {"outcome":"unknown_target","target":{"zone":"south-9"},"message":"the document in force has no availability zone south-9"}"#]]).await;
    let back = r#"{"target": {"zone": "south-9"}, "out": false}"#;
    check(&server, ("POST", "/v1/orders", back), &expect![[r#"
        HTTP/1.1 200 OK
        {"outcome":"in_force","state":{"revision":5,"zones_out":["south-2"],"hosts_out":[]},"in_force":["h1"],"not_reached":["h2"],"partial":true}"#]]).await;
}

#[tokio::test]
async fn documents_are_checked() {
    let server = TestServer::start_default().await;
    check(&server, ("POST", "/v1/document/check", DOCUMENT), &expect![[r#"
        HTTP/1.1 200 OK
        {"valid":true,"environment":"trial","revision":7,"digest":"25129d165a0f33b3fa9e5688312d74454e66695c4873c0fca3e8f4545dfd141c","faults":[],"notes":[{"path":"pools[0]","message":"all backend servers of pool drafting are in zone south-1, so without it there are none"},{"path":"pools[0].cold_limit","message":"with 1, a backend server in cold start gets no work while hosts are cut into even halves"}]}"#]]).await;
    check(&server, ("POST", "/v1/document/check", "{\"revision\": 0}"), &expect![[r#"
        HTTP/1.1 200 OK
        {"valid":false,"environment":null,"revision":null,"digest":null,"faults":[{"path":"environment","message":"the field is missing"},{"path":"revision","message":"a whole number from 1 to 9007199254740991 is needed, found 0"},{"path":"classes","message":"the field is missing"},{"path":"workspaces","message":"the field is missing"},{"path":"zones","message":"the field is missing"},{"path":"pools","message":"the field is missing"},{"path":"backends","message":"the field is missing"}],"notes":[]}"#]]).await;
}

#[tokio::test]
async fn quarantined_requests_are_released() {
    let server = TestServer::start_default().await;
    check(&server, ("DELETE", "/v1/quarantine/000000000000feed", ""), &expect![[r#"
        HTTP/1.1 200 OK
        {"fingerprint":"000000000000feed","released":true,"in_force":["h1"],"not_reached":["h2"]}"#]]).await;
    check(&server, ("DELETE", "/v1/quarantine/000000000000beef", ""), &expect![[r#"
        HTTP/1.1 404 Not Found
        {"fingerprint":"000000000000beef","released":false,"in_force":["h1"],"not_reached":["h2"]}"#]]).await;
    check(
        &server,
        ("DELETE", "/v1/quarantine/feed", ""),
        &expect![[r#"
        HTTP/1.1 400 Bad Request
        {"error":"bad_request","message":"a fingerprint has 16 hexadecimal digits"}"#]],
    )
    .await;
}

#[tokio::test]
async fn invalid_requests_are_refused() {
    let server = TestServer::start_default().await;
    check(
        &server,
        ("GET", "/v2/status", ""),
        &expect![[r#"
        HTTP/1.1 404 Not Found
        {"error":"not_found","message":"there is nothing at this path"}"#]],
    )
    .await;
    check(
        &server,
        ("POST", "/v1/status", ""),
        &expect![[r#"
        HTTP/1.1 405 Method Not Allowed
        {"error":"method_not_allowed","message":"the path takes GET"}"#]],
    )
    .await;
    check(
        &server,
        ("DELETE", "/v1/orders", ""),
        &expect![[r#"
        HTTP/1.1 405 Method Not Allowed
        {"error":"method_not_allowed","message":"the path takes GET, POST"}"#]],
    )
    .await;
    check(
        &server,
        ("GET", "/v1/quarantine/000000000000feed", ""),
        &expect![[r#"
        HTTP/1.1 405 Method Not Allowed
        {"error":"method_not_allowed","message":"the path takes DELETE"}"#]],
    )
    .await;
    check(&server, ("POST", "/v1/orders", ""), &expect![[r#"
        HTTP/1.1 400 Bad Request
        {"error":"bad_request","message":"no order: EOF while parsing a value at line 1 column 0"}"#]]).await;
    check(&server, ("POST", "/v1/orders", "{\"out\": true}"), &expect![[r#"
        HTTP/1.1 400 Bad Request
        {"error":"bad_request","message":"no order: missing field `target` at line 1 column 13"}"#]]).await;
    let misspelt = r#"{"target": {"zone": "south-1"}, "out": true, "if_rev": 4}"#;
    check(&server, ("POST", "/v1/orders", misspelt), &expect![[r#"
        HTTP/1.1 400 Bad Request
        {"error":"bad_request","message":"no order: unknown field `if_rev`, expected one of `target`, `out`, `if_revision` at line 1 column 53"}"#]]).await;
    let no_name = r#"{"target": {"zone": "south 1"}, "out": true}"#;
    check(&server, ("POST", "/v1/orders", no_name), &expect![[r#"
        HTTP/1.1 400 Bad Request
        {"error":"bad_request","message":"no order: a name contains ' ', only letters, digits, '.', '_', '-' and '/' are allowed at line 1 column 30"}"#]]).await;
    check(&server, ("GET", "/v1/histograms?clas=desk", ""), &expect![[r#"
        HTTP/1.1 400 Bad Request
        {"error":"bad_request","message":"the parameter \"clas\" is unknown, known are class and workspace"}"#]]).await;
    check(&server, ("GET", "/v1/histograms?class=a%20b", ""), &expect![[r#"
        HTTP/1.1 400 Bad Request
        {"error":"bad_request","message":"class: a name contains ' ', only letters, digits, '.', '_', '-' and '/' are allowed"}"#]]).await;
    let large = " ".repeat(5000);
    check(
        &server,
        ("POST", "/v1/orders", &large),
        &expect![[r#"
        HTTP/1.1 413 Payload Too Large
        {"error":"too_large","message":"the body has more than 4096 bytes"}"#]],
    )
    .await;
}

#[tokio::test]
async fn only_valid_keys_are_accepted() {
    let server = TestServer::start_default().await;
    let with =
        async |headers: &str| server.call_with_headers("GET", "/v1/orders", headers, "").await;
    expect![[r#"
        HTTP/1.1 401 Unauthorized
        {"error":"unauthorized","message":"an operator's key is needed as a bearer token"}"#]]
    .assert_eq(&with("").await);
    assert_eq!(with("Authorization: Bearer wrong\r\n").await, with("").await);
    assert_eq!(with("Authorization: Bearer \r\n").await, with("").await);
    assert_eq!(with(&format!("Authorization: Basic {KEY}\r\n")).await, with("").await);
    assert_eq!(with(&format!("Authorization: Bearer {KEY}x\r\n")).await, with("").await);
    assert!(with(&format!("authorization: bearer {KEY}\r\n")).await.contains("200 OK"));
    assert!(with("Authorization: Bearer another-key\r\n").await.contains("200 OK"));
}

#[tokio::test]
async fn all_keys_are_refused_if_none_is_configured() {
    let server =
        TestServer::start(common::FixedHandler::default(), |builder| builder.keys(vec![])).await;
    assert!(server.call("GET", "/v1/orders", "").await.contains("401"));
}

#[tokio::test]
async fn probes_need_no_key() {
    let server = TestServer::start_default().await;
    expect![[r#"
        HTTP/1.1 200 OK
        {"live":true}"#]]
    .assert_eq(&server.call_with_headers("GET", "/livez", "", "").await);
    expect![[r#"
        HTTP/1.1 503 Service Unavailable
        {"ready":false,"waiting_for":["an answer of a peer"]}"#]]
    .assert_eq(&server.call_with_headers("GET", "/readyz", "", "").await);
    expect![[r#"
        HTTP/1.1 405 Method Not Allowed
        {"error":"method_not_allowed","message":"the path takes GET"}"#]]
    .assert_eq(&server.call_with_headers("POST", "/readyz", "", "").await);
}
