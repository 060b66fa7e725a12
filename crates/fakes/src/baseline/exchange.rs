//! One request at a baseline daemon.

use std::{io, net::SocketAddr, sync::Arc};

use anyhow::{Result, ensure};
use bytes::Bytes;
use compact_str::CompactString;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{Request, Response, body::Incoming, header::CONTENT_TYPE};
use hyssop_document::name;
use tokio::time::Instant;

use super::{
    balancer::{Balancer, Connection},
    outcome,
};
use crate::{client, listener::Body};

/// The maximum number of attempts for an idempotent request.
const MAX_ATTEMPTS: u32 = 3;

#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) pool: name::Pool,
    pub(super) path: String,
    pub(super) id: CompactString,
    pub(super) body: Bytes,
    pub(super) idempotent: bool,
    pub(super) deadline: Instant,
    pub(super) dispatched: bool,
}

impl Exchange {
    /// Sends the request to one backend server after the other until one responds successfully.
    pub(super) async fn run(&mut self, balancer: &Arc<Balancer>) -> Response<Body> {
        for attempt in 0..MAX_ATTEMPTS {
            let connection = balancer.acquire(&self.pool).await;
            self.dispatched = true;
            match self.attempt(connection.address, attempt).await {
                Ok(response) => return self.forward(response, connection),
                Err(_) => connection.record_failure(),
            }
            if !self.idempotent {
                break;
            }
        }
        outcome("unknown", "may_have_run", "backend server failed")
    }

    async fn attempt(&self, to: SocketAddr, attempt: u32) -> Result<Response<Incoming>> {
        let request = Request::post(self.path.as_str())
            .header("x-request-id", format!("{}-{attempt}", self.id))
            .body(Full::new(self.body.clone()))?;
        let response = client::send(to, request).await?;
        ensure!(response.status().is_success(), "status {}", response.status());
        Ok(response)
    }

    /// Streams the response body until the deadline. The connection counts until the body ends.
    fn forward(&self, response: Response<Incoming>, connection: Connection) -> Response<Body> {
        let deadline = self.deadline;
        let (head, body) = response.into_parts();
        let frames = stream::unfold((body, connection), move |(mut body, connection)| async move {
            let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
                Ok(frame) => frame?.map_err(io::Error::other),
                Err(_) => Err(io::ErrorKind::TimedOut.into()),
            };
            if frame.is_err() {
                connection.record_failure();
            }
            Some((frame, (body, connection)))
        });
        let mut forwarded = Response::new(StreamBody::new(frames).boxed_unsync());
        if let Some(content_type) = head.headers.get(CONTENT_TYPE) {
            forwarded.headers_mut().insert(CONTENT_TYPE, content_type.clone());
        }
        forwarded
    }
}
