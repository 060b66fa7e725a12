//! Attempts, from a request's home to backend servers.

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
        Answer, Attempt, Backends as Border, Connection, Dropped, Failure, FailureKind, Part,
        Target,
    },
    outcome::Execution,
};

/// The time within which a backend server must tell its incarnation.
const INCARNATION_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens connections to backend servers.
#[derive(Debug)]
pub(crate) struct Backends {
    pub(crate) client: Client,
}

impl Border for Backends {
    fn connect(&self, target: Target) -> BoxFuture<'_, Result<Box<dyn Connection>, Failure>> {
        let reuse = if target.fresh { Reuse::Fresh } else { Reuse::Idle };
        Box::pin(async move {
            let connection = self.client.connect(target.address, reuse).await.map_err(failure)?;
            Ok(Box::new(Open(connection)) as Box<dyn Connection>)
        })
    }

    fn incarnation(&self, address: SocketAddr) -> BoxFuture<'_, Option<u64>> {
        Box::pin(async move {
            let load = self.client.load(address, INCARNATION_TIMEOUT).await.ok()?;
            Some(load.incarnation)
        })
    }
}

/// An open connection.
struct Open(connection::Connection);

impl Connection for Open {
    fn send(
        self: Box<Self>,
        attempt: Attempt,
    ) -> BoxFuture<'static, Result<Box<dyn Answer>, Failure>> {
        Box::pin(async move {
            let attempt = backend_attempt(attempt)?;
            let answer = self.0.send(attempt).await.map_err(failure)?;
            Ok(Box::new(Reading(answer)) as Box<dyn Answer>)
        })
    }
}

fn backend_attempt(attempt: Attempt) -> Result<attempt::Attempt, Failure> {
    let id = attempt.id.parse().map_err(|error: attempt::IdError| Failure {
        kind: FailureKind::Invalid,
        ran: Execution::NotRun,
        message: compact_str::format_compact!("{error}"),
    })?;
    let builder = attempt::Attempt::builder(id, attempt.kind, &attempt.path, attempt.body);
    Ok(builder
        .content_type(attempt.content_type)
        .tier(attempt.tier)
        .resume_after(attempt.resume_after)
        .read_timeout(attempt.silence)
        .build())
}

/// An answer that is being read.
struct Reading(response::Response);

impl Answer for Reading {
    fn status(&self) -> u16 {
        self.0.status
    }

    fn content_type(&self) -> Option<CompactString> {
        self.0.content_type.clone()
    }

    fn next(&mut self) -> BoxFuture<'_, Result<Option<Part>, Failure>> {
        Box::pin(async move {
            let next = self.0.next().await.map_err(failure)?;
            Ok(next.map(part))
        })
    }

    fn dropped(&self) -> Dropped {
        let dropped = self.0.dropped();
        Dropped { crossed: dropped.mismatched, repeated: dropped.repeated, gaps: dropped.gaps }
    }
}

fn part(chunk: chunk::Chunk) -> Part {
    match chunk {
        chunk::Chunk::Token { number, data } => Part::Token { number, data },
        chunk::Chunk::Usage { tokens, data } => Part::Usage { tokens, data },
        chunk::Chunk::Body(data) => Part::Body(data),
    }
}

fn failure(failure: failure::Failure) -> Failure {
    let ran = match failure.execution {
        failure::Execution::NotRun => Execution::NotRun,
        failure::Execution::MayHaveRun => Execution::MayHaveRun,
        failure::Execution::Ran => Execution::Ran,
    };
    Failure { kind: failure_kind(failure.kind), ran, message: failure.message }
}

fn failure_kind(kind: failure::Kind) -> FailureKind {
    match kind {
        failure::Kind::Connect { refused } => FailureKind::Connect { refused },
        failure::Kind::Overloaded { retry_after } => FailureKind::Overloaded { retry_after },
        failure::Kind::Status { code, content_type, body } => {
            FailureKind::Status { code, content_type, body }
        }
        failure::Kind::Interrupted => FailureKind::Broken,
        failure::Kind::Timeout => FailureKind::Silent,
        failure::Kind::TokenCount
        | failure::Kind::Mismatched
        | failure::Kind::TooLarge
        | failure::Kind::Protocol => FailureKind::Invalid,
    }
}
