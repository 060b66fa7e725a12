//! The requests and answers that `docs/OPERATORS-API.md` prints are those of the server.

mod common;

use common::Running;
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

/// A printed request with the status and the body of its answer.
struct Example<'a> {
    method: &'a str,
    path: &'a str,
    body: &'a str,
    status: &'a str,
    answer: &'a str,
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
    let (answer, _) = rest.split_once("```")?;
    Some(Example { method, path, body: body.trim(), status, answer })
}

#[tokio::test]
async fn examples_work_as_printed() {
    let server = Running::plain().await;
    let examples = examples();
    assert_eq!(examples.len(), PAGE.matches("```http\n").count());
    for Example { method, path, body, status, answer } in examples {
        let found = server.call(method, path, body).await;
        let (found_status, found_body) = found.split_once('\n').expect("an answer has a status");
        assert!(found_status.contains(status), "{method} {path}: {found_status}");
        let printed: Value = serde_json::from_str(answer).expect("the page prints JSON");
        let found: Value = serde_json::from_str(found_body).expect("the server answers JSON");
        assert_eq!(found, printed, "{method} {path}");
    }
}

#[test]
fn every_path_is_told() {
    for path in PATHS {
        assert!(
            PAGE.contains(&format!("{path}\n")) || PAGE.contains(&format!("{path}`")),
            "{path}"
        );
    }
}
