//! The examples in `docs/OPERATORS-API.md` match the responses of the server, and every path is
//! documented.

mod common;

use common::TestServer;
use serde_json::Value;

const PAGE: &str = include_str!("../../../docs/OPERATORS-API.md");
const PATHS: [&str; 8] = [
    "/v1/status",
    "/v1/orders",
    "/v1/histograms",
    "/v1/quarantine",
    "/v1/document",
    "/v1/document/check",
    "/livez",
    "/readyz",
];

/// A documented request with the status and the body of its response.
struct Example<'a> {
    method: &'a str,
    path: &'a str,
    body: &'a str,
    status: &'a str,
    response: &'a str,
}

fn examples() -> Vec<Example<'static>> {
    PAGE.split("```http\n").skip(1).filter_map(example).collect()
}

fn example(text: &'static str) -> Option<Example<'static>> {
    let (request, rest) = text.split_once("```")?;
    let (line, body) = request.split_once('\n')?;
    let (method, path) = line.split_once(' ')?;
    let (_, rest) = rest.split_once("Answer, ")?;
    let (status, rest) = rest.split_once(':')?;
    let (_, rest) = rest.split_once("```json\n")?;
    let (response, _) = rest.split_once("```")?;
    Some(Example { method, path, body: body.trim(), status, response })
}

#[tokio::test]
async fn examples_match_the_server() {
    let server = TestServer::start_default().await;
    let examples = examples();
    assert_eq!(examples.len(), PAGE.matches("```http\n").count());
    for Example { method, path, body, status, response } in examples {
        let actual = server.call(method, path, body).await;
        let (actual_status, actual_body) =
            actual.split_once('\n').expect("a response has a status");
        assert!(actual_status.contains(status), "{method} {path}: {actual_status}");
        let documented: Value = serde_json::from_str(response).expect("the page contains JSON");
        let actual: Value = serde_json::from_str(actual_body).expect("the server responds in JSON");
        assert_eq!(actual, documented, "{method} {path}");
    }
}

#[test]
fn every_path_is_documented() {
    for path in PATHS {
        assert!(
            PAGE.contains(&format!("{path}\n")) || PAGE.contains(&format!("{path}`")),
            "{path}"
        );
    }
}
