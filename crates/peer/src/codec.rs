//! The postcard codec of the TCP connections between daemons.

use std::{io, pin::Pin};

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::length_delimited;

/// The largest message on a TCP connection.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Writes and reads messages with postcard.
#[derive(Debug, Clone, Copy, Default)]
pub struct Postcard;

impl<T: Serialize> tokio_serde::Serializer<T> for Postcard {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, io::Error> {
        postcard::to_allocvec(item).map(Bytes::from).map_err(io::Error::other)
    }
}

impl<T: for<'de> Deserialize<'de>> tokio_serde::Deserializer<T> for Postcard {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, source: &BytesMut) -> Result<T, io::Error> {
        postcard::from_bytes(source)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}

/// The framing of messages: a length of four bytes, bounded.
pub fn framing() -> length_delimited::Builder {
    let mut builder = length_delimited::Builder::new();
    builder.max_frame_length(MAX_MESSAGE_BYTES);
    builder
}
