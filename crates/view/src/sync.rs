//! Fetches records from a peer over TCP: one request and one response, each a frame of `postcard`.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::record::{Changes, Position};

/// The maximum size of a response: a few of the largest values that the store holds.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// The timeout of one exchange. Peers are milliseconds away, and another peer is tried afterwards.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Requests the records after a position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Request {
    after: Position,
}

/// Provides the records that peers fetch.
pub trait RecordProvider: Send + Sync + 'static {
    /// The records newer than `after`, deletions included, or `None` while this daemon's state may
    /// be out of date.
    fn changes_after(&self, after: Position) -> Option<Changes>;
}

/// Why records could not be fetched.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum Error {
    /// The connection failed.
    #[display("the connection failed: {_0}")]
    Connection(io::Error),
    /// The frame can't be decoded.
    #[display("the frame is malformed: {_0}")]
    Codec(postcard::Error),
    /// The exchange timed out, or the peer closed the connection.
    #[display("no response within {} ms", EXCHANGE_TIMEOUT.as_millis())]
    NoResponse,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

/// Fetches the records of the peer at `address` that are newer than `after`.
///
/// # Errors
///
/// See [`Error`].
pub async fn fetch(address: SocketAddr, after: Position) -> Result<Changes, Error> {
    let exchange = async {
        let mut frames = framed(TcpStream::connect(address).await?);
        frames.send(Bytes::from(postcard::to_allocvec(&Request { after })?)).await?;
        let response = frames.next().await.ok_or(Error::NoResponse)??;
        Ok(postcard::from_bytes(&response)?)
    };
    timeout(EXCHANGE_TIMEOUT, exchange).await.map_err(|_| Error::NoResponse)?
}

/// Serves records to peers. Never returns: a failed accept is logged and retried.
pub async fn serve(listener: TcpListener, provider: Arc<dyn RecordProvider>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let provider = Arc::clone(&provider);
                tokio::spawn(async move {
                    let served = timeout(EXCHANGE_TIMEOUT, respond(stream, &*provider)).await;
                    if let Err(error) = served.unwrap_or(Err(Error::NoResponse)) {
                        tracing::info!(event = "records_not_sent", %peer, %error);
                    }
                });
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", listener = "records", %error);
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn respond(stream: TcpStream, provider: &dyn RecordProvider) -> Result<(), Error> {
    let mut frames = framed(stream);
    let request = frames.next().await.ok_or(Error::NoResponse)??;
    let request: Request = postcard::from_bytes(&request)?;
    let Some(changes) = provider.changes_after(request.after) else { return Ok(()) };
    frames.send(Bytes::from(postcard::to_allocvec(&changes)?)).await?;
    Ok(())
}
