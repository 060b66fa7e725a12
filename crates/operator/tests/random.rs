//! No request that is HTTP stays without an answer, whatever its path and body are.

mod common;

use bolero::TypeGenerator;
use common::{KEY, Running};

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
    /// A body of its own, or an order with a byte replaced.
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
fn any_path_and_body() {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    let server = runtime.block_on(Running::plain());
    bolero::check!().with_iterations(ITERATIONS).with_type::<Input>().for_each(|input| {
        let answer = runtime.block_on(server.raw(&input.request()));
        let status = answer.split(' ').nth(1).unwrap_or_default();
        let known = ["200", "400", "401", "404", "405", "409", "413", "503"].contains(&status);
        assert!(known, "{input:?} {answer:?}");
        let own_word = answer.contains("application/json") || status == "400";
        assert!(own_word, "{input:?} {answer:?}");
    });
}
