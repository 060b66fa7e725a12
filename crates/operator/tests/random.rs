//! Every valid HTTP request gets a response, whatever its path and body are.

mod common;

use bolero::TypeGenerator;
use common::{KEY, TestServer};

const ITERATIONS: usize = 500;
const METHODS: [&str; 6] = ["GET", "POST", "DELETE", "PUT", "HEAD", "BREW"];
const PATHS: [&str; 9] = [
    "/",
    "/v1/status",
    "/v1/orders",
    "/v1/histograms?class=",
    "/v1/quarantine",
    "/v1/quarantine/",
    "/v1/document",
    "/v1/document/check",
    "/readyz",
];
const ORDER: &[u8] = br#"{"target": {"zone": "south-1"}, "out": true, "if_revision": 4}"#;

#[derive(Debug, TypeGenerator)]
struct Input {
    method: u8,
    path: u8,
    suffix: Vec<u8>,
    with_key: bool,
    /// An arbitrary body. Without it, the body is a valid order with one byte replaced.
    body: Option<Vec<u8>>,
    replaced: (u8, u8),
}

impl Input {
    fn request(&self) -> Vec<u8> {
        let method = METHODS[usize::from(self.method) % METHODS.len()];
        let path = PATHS[usize::from(self.path) % PATHS.len()];
        let suffix: String =
            self.suffix.iter().map(|byte| char::from(byte % 94 + 33)).take(40).collect();
        let key = if self.with_key { KEY } else { "none" };
        let body = self.body.clone().unwrap_or_else(|| self.order());
        let length = body.len();
        let head = format!(
            "{method} {path}{suffix} HTTP/1.1\r\nHost: h1\r\nConnection: close\r\n\
             Authorization: Bearer {key}\r\nContent-Length: {length}\r\n\r\n"
        );
        [head.into_bytes(), body].concat()
    }

    fn order(&self) -> Vec<u8> {
        let mut order = ORDER.to_vec();
        let position = usize::from(self.replaced.0) % order.len();
        order[position] = self.replaced.1;
        order
    }
}

#[test]
fn every_http_request_gets_a_response() {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    let server = runtime.block_on(TestServer::start_default());
    bolero::check!().with_iterations(ITERATIONS).with_type::<Input>().for_each(|input| {
        let response = runtime.block_on(server.send_raw(&input.request()));
        let status = response.split(' ').nth(1).unwrap_or_default();
        let expected_status =
            ["200", "400", "401", "404", "405", "409", "413", "503"].contains(&status);
        assert!(expected_status, "{input:?} {response:?}");
        // The HTTP library responds to a malformed request with 400 and no body.
        let expected_body = response.contains("application/json") || status == "400";
        assert!(expected_body, "{input:?} {response:?}");
    });
}
