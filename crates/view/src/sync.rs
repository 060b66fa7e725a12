//! Records from a peer, over TCP: one question, one answer, each a frame of `postcard`.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::record::{Record, Revision};

/// The largest answer in bytes: a few of the largest values that the store holds.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// The time for one exchange. Peers are milliseconds away; after this another one is asked.
const EXCHANGE_TIME: Duration = Duration::from_millis(800);

/// The question: records newer than a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Question {
    after: Revision,
}

/// Gives the records newer than a revision, deletions included.
pub trait Source: Send + Sync + 'static {
    /// The records, or `None` while this daemon can't vouch for what it knows.
    fn records_after(&self, after: Revision) -> Option<Vec<Record>>;
}

/// Why records could not be fetched.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum Error {
    /// The connection failed.
    #[display("connection: {_0}")]
    Connection(io::Error),
    /// The frame holds something else.
    #[display("frame: {_0}")]
    Codec(postcard::Error),
    /// The peer took too long, or closed the connection.
    #[display("no answer within {} ms", EXCHANGE_TIME.as_millis())]
    Silent,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

/// Fetches the records of the peer at `address` that are newer than `after`.
///
/// # Errors
///
/// See [`Error`].
pub async fn fetch(address: SocketAddr, after: Revision) -> Result<Vec<Record>, Error> {
    let exchange = async {
        let mut frames = framed(TcpStream::connect(address).await?);
        frames.send(Bytes::from(postcard::to_allocvec(&Question { after })?)).await?;
        let answer = frames.next().await.ok_or(Error::Silent)??;
        Ok(postcard::from_bytes(&answer)?)
    };
    timeout(EXCHANGE_TIME, exchange).await.map_err(|_| Error::Silent)?
}

/// Answers peers until the listener fails for good.
pub async fn serve(listener: TcpListener, source: Arc<dyn Source>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let source = Arc::clone(&source);
                tokio::spawn(async move {
                    let answered = timeout(EXCHANGE_TIME, answer(stream, &*source)).await;
                    if let Err(error) = answered.unwrap_or(Err(Error::Silent)) {
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

async fn answer(stream: TcpStream, source: &dyn Source) -> Result<(), Error> {
    let mut frames = framed(stream);
    let question = frames.next().await.ok_or(Error::Silent)??;
    let question: Question = postcard::from_bytes(&question)?;
    let Some(records) = source.records_after(question.after) else { return Ok(()) };
    frames.send(Bytes::from(postcard::to_allocvec(&records)?)).await?;
    Ok(())
}
