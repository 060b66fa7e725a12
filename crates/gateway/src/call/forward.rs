//! Requests that a peer serves, while this daemon reaches no backend server of their pool.
//!
//! The peer gets what the caller sent and treats it like a request of its own caller: it checks the
//! key, decides about admission, counts limits and budgets, and sends the request to a backend server.
//! This daemon only passes bytes on. It has sent the request to no backend server, and sends it to one
//! peer at most once a byte of it may have arrived there.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::{BufMut as _, Bytes, BytesMut};
use hyper::{Response, StatusCode};
use tokio::time::timeout;

use super::{Call, Error, Failure, response_with};
use crate::{
    body::{Aborted, Body, Chunks, streamed},
    directory,
    http::{
        connection::{Connection, OpenGuard},
        framing::{Framing, Step},
        head::{self, Head},
    },
    intake::elapsed_ms,
};

/// The maximum number of peers that are tried for one request.
const MAX_PEERS: usize = 3;
/// The maximum number of requests that peers serve for this daemon at a time.
const MAX_FORWARDED_REQUESTS: usize = 1_024;
/// How long after the deadline the peer's own answer, that it is over, may arrive.
const DEADLINE_GRACE: Duration = Duration::from_millis(150);

/// A connection to the peer that serves the request. Dropping it tells the peer to stop.
struct PeerConnection {
    peer: SocketAddr,
    connection: Option<Connection>,
}

impl PeerConnection {
    fn get(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("it is only taken when it is dropped")
    }

    /// Waits for a response head that is not informational.
    async fn receive_head(&mut self, call: &Call) -> Result<Head, Error> {
        let connection = self.get();
        loop {
            match head::parse(&mut connection.buffer, &call.method)? {
                Some(head) if head.status.is_informational() => {}
                Some(head) => return Ok(head),
                None if connection.fill().await? == 0 => return Err(Error::Closed),
                None => {}
            }
        }
    }

    /// Reads the next bytes of the body, or returns its end.
    async fn read_body(&mut self, framing: &mut Framing) -> Result<Step, Error> {
        let connection = self.get();
        loop {
            match framing.step(&mut connection.buffer)? {
                Step::More => {}
                step => return Ok(step),
            }
            if connection.fill().await? == 0 {
                framing.on_close()?;
                return Ok(Step::End);
            }
        }
    }
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.abandon();
        }
    }
}

/// A peer's response to a forwarded request.
pub(super) struct Forwarded {
    connection: PeerConnection,
    head: Head,
}

impl Call {
    /// Whether a peer can serve the request, and this daemon reaches no backend server of its pool.
    pub(super) fn may_be_forwarded(&self) -> bool {
        !self.peers().is_empty()
    }

    /// The peers that can serve the request, if this daemon can't. A request that a peer has forwarded
    /// stays: beliefs may differ, and it must not travel in circles.
    fn peers(&self) -> Vec<SocketAddr> {
        let pool = &self.demand.pool;
        if self.is_forwarded || self.runs > 0 || self.gateway.reaches(pool) {
            return Vec::new();
        }
        directory::peers_for(&self.gateway, pool, Instant::now())
    }

    /// Has a peer serve the request, if this daemon reaches no backend server of its pool. Returns `None`
    /// if no peer can.
    pub(super) async fn forward(&mut self) -> Option<Result<Forwarded, Failure>> {
        for peer in self.peers().into_iter().take(MAX_PEERS) {
            let guard = OpenGuard::acquire(&self.gateway.forwarding, MAX_FORWARDED_REQUESTS)?;
            let opened = match Connection::open(peer, guard).await {
                Ok(connection) => connection,
                Err(error) => {
                    self.note_not_forwarded(peer, &Error::Connection(error));
                    continue;
                }
            };
            tracing::info!(
                event = "forwarded", id = %self.meta.id, route = %self.route.name,
                pool = %self.demand.pool, %peer, tries = self.tries, waited_ms = elapsed_ms(self.arrived)
            );
            let mut connection = PeerConnection { peer, connection: Some(opened) };
            connection.get().send(self.peer_request_head(), self.body.bytes());
            let limit = self.time_left() + DEADLINE_GRACE;
            let received = timeout(limit, connection.receive_head(self)).await;
            match received.unwrap_or(Err(Error::Late(limit))) {
                Ok(head) => return Some(Ok(Forwarded { connection, head })),
                Err(error) if connection.get().is_unsent() => self.note_not_forwarded(peer, &error),
                Err(error) => {
                    let is_late = matches!(error, Error::Late(_));
                    let end = if is_late { "late" } else { "broken" };
                    self.gateway.metrics.count_forwarded(end);
                    let failure = if is_late { Failure::Timeout } else { Failure::Broken(error) };
                    // The peer may have had it run.
                    self.runs += 1;
                    return Some(Err(failure));
                }
            }
        }
        None
    }

    fn note_not_forwarded(&self, peer: SocketAddr, fault: &Error) {
        tracing::info!(event = "not_forwarded", id = %self.meta.id, %peer, %fault);
        self.gateway.metrics.count_forwarded("unreachable");
    }

    /// The request as the caller sent it, with the time that is left.
    fn peer_request_head(&self) -> Bytes {
        let mut out = BytesMut::with_capacity(1_024);
        self.write_request_line(&mut out);
        self.gateway.dialect.write_forwarded(&self.headers, self.time_left(), &mut out);
        self.write_length(&mut out);
        out.put_slice(b"connection: close\r\n\r\n");
        out.freeze()
    }

    /// Passes the response of a peer on to the caller.
    pub(super) fn pass_on(mut self, forwarded: Forwarded) -> Response<Body> {
        let Forwarded { connection, head } = forwarded;
        self.headers.clear();
        let mut response = response_with(&head, Body::default());
        let mut passage = Passage {
            call: self,
            connection,
            framing: head.framing,
            status: head.status,
            bytes: 0,
            first_at: None,
            done: false,
        };
        passage.finish_at_end();
        *response.body_mut() = streamed(passage);
        response
    }
}

/// Passes the body of a peer's response on.
struct Passage {
    call: Call,
    connection: PeerConnection,
    framing: Framing,
    status: StatusCode,
    bytes: u64,
    first_at: Option<Instant>,
    done: bool,
}

impl Passage {
    /// Finishes along with the last data if the end has been received: `hyper` does not poll a body
    /// beyond the announced length.
    fn finish_at_end(&mut self) {
        if self.framing.take_end(&mut self.connection.get().buffer) {
            self.record_end("complete");
        }
    }

    fn record_end(&mut self, end: &'static str) {
        self.done = true;
        let call = &self.call;
        let first_ms = self.first_at.map(|at| at.duration_since(call.arrived).as_millis() as u64);
        tracing::info!(
            event = "answered", id = %call.meta.id, route = %call.route.name,
            status = self.status.as_u16(), reason = "forwarded", cause = end,
            peer = %self.connection.peer, first_ms, after_ms = elapsed_ms(call.arrived),
            bytes = self.bytes, version = call.version
        );
        let metrics = &call.gateway.metrics;
        metrics.count_forwarded(end);
        metrics.count_response(&call.route.name, self.status.as_u16(), "forwarded");
        let duration = call.arrived.elapsed();
        metrics.observe_response_time(&call.route.name, duration);
        if end == "complete" {
            call.gateway.durations.lock().record(&call.route.name, duration);
        }
    }
}

impl Chunks for Passage {
    async fn next(&mut self) -> Option<Result<Bytes, Aborted>> {
        if self.done {
            return None;
        }
        let limit = self.call.time_left() + DEADLINE_GRACE;
        let read = timeout(limit, self.connection.read_body(&mut self.framing)).await;
        match read.unwrap_or(Err(Error::Late(limit))) {
            Ok(Step::Data(data)) => {
                self.first_at.get_or_insert_with(Instant::now);
                self.bytes += data.len() as u64;
                self.finish_at_end();
                Some(Ok(data))
            }
            Ok(Step::End | Step::More) => {
                self.record_end("complete");
                None
            }
            Err(fault) => {
                tracing::info!(event = "broken_off", id = %self.call.meta.id, failure = %fault);
                self.record_end(if matches!(fault, Error::Late(_)) { "late" } else { "broken" });
                // On an error `hyper` drops what it has not written, and it writes when it waits
                // for the body.
                tokio::task::yield_now().await;
                Some(Err(Aborted))
            }
        }
    }
}

impl Drop for Passage {
    fn drop(&mut self) {
        if !self.done {
            self.record_end("caller_left");
        }
    }
}
