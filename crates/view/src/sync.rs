//! Fetches records from a peer over TCP: one request and one response, each a frame of `postcard`.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, timeout, timeout_at},
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
    /// The peer closed the connection without a response: its state may be out of date.
    #[display("the peer closed the connection without a response")]
    NoResponse,
    /// The exchange timed out. Holds the number of bytes that had arrived.
    #[display("no response within {} ms", EXCHANGE_TIMEOUT.as_millis())]
    #[from(skip)]
    Timeout(#[error(not(source))] usize),
}

impl Error {
    /// The number of bytes of the response that arrived before the exchange timed out.
    pub fn received_bytes(&self) -> Option<usize> {
        match self {
            Self::Timeout(bytes) => Some(*bytes),
            _ => None,
        }
    }
}

/// The changes that a peer sent.
#[derive(Debug)]
pub struct Response {
    /// The changes.
    pub changes: Changes,
    /// Their size as sent.
    pub bytes: usize,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

/// Fetches the records of the peer at `address` that are newer than `after`.
///
/// # Errors
///
/// See [`Error`].
pub async fn fetch(address: SocketAddr, after: Position) -> Result<Response, Error> {
    let deadline = Instant::now() + EXCHANGE_TIMEOUT;
    let connect = timeout_at(deadline, TcpStream::connect(address));
    let mut frames = framed(connect.await.map_err(|_| Error::Timeout(0))??);
    let exchange = async {
        frames.send(Bytes::from(postcard::to_allocvec(&Request { after })?)).await?;
        let response = frames.next().await.ok_or(Error::NoResponse)??;
        Ok(Response { changes: postcard::from_bytes(&response)?, bytes: response.len() })
    };
    match timeout_at(deadline, exchange).await {
        Ok(result) => result,
        Err(_) => Err(Error::Timeout(frames.read_buffer().len())),
    }
}

/// Serves records to peers. Never returns: a failed accept is logged and retried.
pub async fn serve(listener: TcpListener, provider: Arc<dyn RecordProvider>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let provider = Arc::clone(&provider);
                tokio::spawn(async move {
                    let mut bytes = 0;
                    let respond = respond(stream, &*provider, &mut bytes);
                    let served = timeout(EXCHANGE_TIMEOUT, respond).await;
                    if let Err(error) = served.unwrap_or(Err(Error::Timeout(0))) {
                        tracing::info!(event = "records_not_sent", %peer, %error, bytes);
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

/// Responds to one request. `bytes` is set to the size of the response.
async fn respond(
    stream: TcpStream,
    provider: &dyn RecordProvider,
    bytes: &mut usize,
) -> Result<(), Error> {
    let mut frames = framed(stream);
    let request = frames.next().await.ok_or(Error::NoResponse)??;
    let request: Request = postcard::from_bytes(&request)?;
    let Some(changes) = provider.changes_after(request.after) else { return Ok(()) };
    let response = Bytes::from(postcard::to_allocvec(&changes)?);
    *bytes = response.len();
    frames.send(response).await?;
    Ok(())
}
