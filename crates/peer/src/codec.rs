//! The postcard codec of the TCP connections between daemons.

use std::{io, pin::Pin, sync::Arc};

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::length_delimited;

use crate::traffic::Meter;

/// The size of the length prefix of a message.
const LENGTH_BYTES: usize = 4;
/// The size limit of a message on a TCP connection.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Encodes and decodes messages with postcard and counts them.
#[derive(Debug, Clone, Default)]
pub struct Postcard {
    meter: Arc<Meter>,
}

impl Postcard {
    /// Creates a codec that counts messages and bytes in `meter`.
    pub fn new(meter: Arc<Meter>) -> Self {
        Self { meter }
    }
}

impl<T: Serialize> tokio_serde::Serializer<T> for Postcard {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, io::Error> {
        let bytes = postcard::to_allocvec(item).map_err(io::Error::other)?;
        self.meter.message_sent(bytes.len() + LENGTH_BYTES);
        Ok(Bytes::from(bytes))
    }
}

impl<T: for<'de> Deserialize<'de>> tokio_serde::Deserializer<T> for Postcard {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, source: &BytesMut) -> Result<T, io::Error> {
        self.meter.message_received(source.len() + LENGTH_BYTES);
        postcard::from_bytes(source)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}

/// The framing of messages: a length prefix of four bytes and a bounded payload.
pub fn framing() -> length_delimited::Builder {
    let mut builder = length_delimited::Builder::new();
    builder.max_frame_length(MAX_MESSAGE_BYTES);
    builder
}
