//! Fetches records from a peer over TCP: one request and one response, each a frame of `postcard`.
//!
//! An exchange may take as long as the link needs for it, and is given up only if no data arrives for
//! a while: a limit on the whole exchange would end each attempt at a large response over a slow link.

use std::{io, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use futures::{SinkExt as _, StreamExt as _};
use hyssop_listener::Gate;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::timeout,
};
use tokio_io_timeout::TimeoutStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::record::{Changes, Position, Record};

/// The maximum size of a response: a few of the largest values that the store holds.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// How long an exchange may make no progress. Peers are milliseconds away, and another peer is tried
/// afterwards.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum size of a value that is sent together with others.
pub const MAX_INLINE_BYTES: usize = 16 << 10;

type Frames = Framed<Pin<Box<TimeoutStream<TcpStream>>>, LengthDelimitedCodec>;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Request {
    /// The records after a position.
    Changes { after: Position },
    /// One record, if it is after a position.
    Record { key: CompactString, after: Position },
}

#[derive(Debug, Serialize, Deserialize)]
enum Reply<T> {
    Found(T),
    /// The peer's state may be out of date, or it lacks the record.
    Unavailable,
    /// The peer sends large records to as many others as its link can serve.
    Busy,
}

/// Provides the records that peers fetch.
pub trait RecordProvider: Send + Sync + 'static {
    /// The records newer than `after`, deletions included, or `None` while this daemon's state may
    /// be out of date. Values of more than [`MAX_INLINE_BYTES`] are replaced by references.
    fn changes_after(&self, after: Position) -> Option<Changes>;

    /// The record of `key`, if there is one newer than `after` and this daemon's state is current.
    fn record_after(&self, key: &str, after: Position) -> Option<Record>;
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
    /// The peer closed the connection without a response.
    #[display("the peer closed the connection without a response")]
    NoResponse,
    /// The peer's state may be out of date, or it lacks the record.
    #[display("the peer does not have what was requested")]
    Unavailable,
    /// The peer sends large records to as many others as its link can serve.
    #[display("the peer sends records to others")]
    Busy,
    /// The exchange made no progress. Holds the number of bytes that had arrived.
    #[display("no data within {} ms", STALL_TIMEOUT.as_millis())]
    #[from(skip)]
    Stalled(#[error(not(source))] usize),
}

impl Error {
    /// The number of bytes of the response that arrived before the exchange stalled.
    pub fn received_bytes(&self) -> Option<usize> {
        match self {
            Self::Stalled(bytes) => Some(*bytes),
            _ => None,
        }
    }
}

/// What a peer sent.
#[derive(Debug)]
pub struct Response<T> {
    /// The content.
    pub content: T,
    /// Its size as sent.
    pub bytes: usize,
}

fn framed(stream: TcpStream) -> Frames {
    let mut stream = TimeoutStream::new(stream);
    stream.set_read_timeout(Some(STALL_TIMEOUT));
    stream.set_write_timeout(Some(STALL_TIMEOUT));
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(Box::pin(stream))
}

/// Fetches the records of the peer at `address` that are newer than `after`.
///
/// # Errors
///
/// See [`Error`].
pub async fn fetch_changes(
    address: SocketAddr,
    after: Position,
) -> Result<Response<Changes>, Error> {
    exchange(address, &Request::Changes { after }).await
}

/// Fetches one record of the peer at `address`, if it is newer than `after`.
///
/// # Errors
///
/// See [`Error`].
pub async fn fetch_record(
    address: SocketAddr,
    key: CompactString,
    after: Position,
) -> Result<Response<Record>, Error> {
    exchange(address, &Request::Record { key, after }).await
}

async fn exchange<T: DeserializeOwned>(
    address: SocketAddr,
    request: &Request,
) -> Result<Response<T>, Error> {
    let connect = timeout(STALL_TIMEOUT, TcpStream::connect(address));
    let mut frames = framed(connect.await.map_err(|_| Error::Stalled(0))??);
    frames.send(Bytes::from(postcard::to_allocvec(request)?)).await?;
    let response = match frames.next().await.ok_or(Error::NoResponse)? {
        Err(error) if error.kind() == io::ErrorKind::TimedOut => {
            return Err(Error::Stalled(frames.read_buffer().len()));
        }
        response => response?,
    };
    match postcard::from_bytes(&response)? {
        Reply::Found(content) => Ok(Response { content, bytes: response.len() }),
        Reply::Unavailable => Err(Error::Unavailable),
        Reply::Busy => Err(Error::Busy),
    }
}

/// Serves records to peers until `gate` closes, large ones to `max_uploads` at a time. The gate ends once
/// the transfers that have begun are finished.
pub fn serve(
    gate: &Gate,
    listener: TcpListener,
    provider: Arc<dyn RecordProvider>,
    max_uploads: usize,
) {
    let uploads = Arc::new(Semaphore::new(max_uploads));
    gate.listen(listener, "records", move |stream, peer| {
        let (provider, uploads) = (Arc::clone(&provider), Arc::clone(&uploads));
        async move {
            let mut bytes = 0;
            if let Err(error) = respond(stream, &*provider, &uploads, &mut bytes).await {
                tracing::info!(event = "records_not_sent", %peer, %error, bytes);
            }
        }
    });
}

/// Responds to one request. `bytes` is set to the size of the response.
async fn respond(
    stream: TcpStream,
    provider: &dyn RecordProvider,
    uploads: &Semaphore,
    bytes: &mut usize,
) -> Result<(), Error> {
    let mut frames = framed(stream);
    let request = frames.next().await.ok_or(Error::NoResponse)??;
    let (reply, _upload) = match postcard::from_bytes(&request)? {
        Request::Changes { after } => (encode(provider.changes_after(after))?, None),
        Request::Record { key, after } => match uploads.try_acquire() {
            Ok(upload) => (encode(provider.record_after(&key, after))?, Some(upload)),
            Err(_) => (postcard::to_allocvec(&Reply::<Record>::Busy)?, None),
        },
    };
    *bytes = reply.len();
    frames.send(Bytes::from(reply)).await?;
    Ok(())
}

fn encode<T: Serialize>(content: Option<T>) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_allocvec(&content.map_or(Reply::Unavailable, Reply::Found))
}
