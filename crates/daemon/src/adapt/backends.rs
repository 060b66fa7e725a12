//! Sends the attempts of a request's home to backend servers.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use futures::future::BoxFuture;
use hyssop_backend::{
    attempt, chunk,
    client::{Client, Reuse},
    connection, failure, response,
};
use hyssop_caller::{
    backends::{
        Attempt, Backends as CallerBackends, Chunk, Connection, Dropped, Failure, FailureKind,
        Response, Target,
    },
    outcome::Execution,
};

/// The time within which a backend server must report its incarnation.
const INCARNATION_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens connections to backend servers.
#[derive(Debug)]
pub(crate) struct Backends {
    pub(crate) client: Client,
}

impl CallerBackends for Backends {
    fn connect(&self, target: Target) -> BoxFuture<'_, Result<Box<dyn Connection>, Failure>> {
        let reuse = if target.fresh { Reuse::Fresh } else { Reuse::Idle };
        Box::pin(async move {
            let connection = self.client.connect(target.address, reuse).await.map_err(failure)?;
            Ok(Box::new(OpenConnection(connection)) as Box<dyn Connection>)
        })
    }

    fn incarnation(&self, address: SocketAddr) -> BoxFuture<'_, Option<u64>> {
        Box::pin(async move {
            let load = self.client.fetch_load(address, INCARNATION_TIMEOUT).await.ok()?;
            Some(load.incarnation)
        })
    }
}

/// An open connection to a backend server.
struct OpenConnection(connection::Connection);

impl Connection for OpenConnection {
    fn send(
        self: Box<Self>,
        attempt: Attempt,
    ) -> BoxFuture<'static, Result<Box<dyn Response>, Failure>> {
        Box::pin(async move {
            let attempt = backend_attempt(attempt)?;
            let response = self.0.send(attempt).await.map_err(failure)?;
            Ok(Box::new(OpenResponse(response)) as Box<dyn Response>)
        })
    }
}

fn backend_attempt(attempt: Attempt) -> Result<attempt::Attempt, Failure> {
    let id = attempt.id.parse().map_err(|error: attempt::IdError| Failure {
        kind: FailureKind::Invalid,
        execution: Execution::NotRun,
        message: compact_str::format_compact!("{error}"),
    })?;
    let builder = attempt::Attempt::builder(id, attempt.kind, &attempt.path, attempt.body);
    Ok(builder
        .content_type(attempt.content_type)
        .tier(attempt.tier)
        .resume_after(attempt.resume_after)
        .read_timeout(attempt.read_timeout)
        .build())
}

/// A response that is being received.
struct OpenResponse(response::Response);

impl Response for OpenResponse {
    fn status(&self) -> u16 {
        self.0.status
    }

    fn content_type(&self) -> Option<CompactString> {
        self.0.content_type.clone()
    }

    fn next(&mut self) -> BoxFuture<'_, Result<Option<Chunk>, Failure>> {
        Box::pin(async move {
            let next = self.0.next().await.map_err(failure)?;
            Ok(next.map(caller_chunk))
        })
    }

    fn dropped(&self) -> Dropped {
        let dropped = self.0.dropped();
        Dropped { mismatched: dropped.mismatched, repeated: dropped.repeated, gaps: dropped.gaps }
    }
}

fn caller_chunk(chunk: chunk::Chunk) -> Chunk {
    match chunk {
        chunk::Chunk::Token { number, data } => Chunk::Token { number, data },
        chunk::Chunk::Usage { tokens, data } => Chunk::Usage { tokens, data },
        chunk::Chunk::Body(data) => Chunk::Body(data),
    }
}

fn failure(failure: failure::Failure) -> Failure {
    let execution = match failure.execution {
        failure::Execution::NotRun => Execution::NotRun,
        failure::Execution::MayHaveRun => Execution::MayHaveRun,
        failure::Execution::Ran => Execution::Ran,
    };
    Failure { kind: failure_kind(failure.kind), execution, message: failure.message }
}

fn failure_kind(kind: failure::Kind) -> FailureKind {
    match kind {
        failure::Kind::Connect { refused } => FailureKind::Connect { refused },
        failure::Kind::Overloaded { retry_after } => FailureKind::Overloaded { retry_after },
        failure::Kind::Status { code, content_type, body } => {
            FailureKind::Status { code, content_type, body }
        }
        failure::Kind::Interrupted => FailureKind::Interrupted,
        failure::Kind::Timeout => FailureKind::Timeout,
        failure::Kind::TokenCount
        | failure::Kind::Mismatched
        | failure::Kind::TooLarge
        | failure::Kind::Protocol => FailureKind::Invalid,
    }
}
