//! Body framing by content length, chunked transfer coding or connection close.

use bytes::{Buf as _, Bytes, BytesMut};
use derive_more::derive::{Display, Error};

/// The maximum length of a chunk size line with its extensions, and of a trailer line.
const MAX_LINE_BYTES: usize = 4 << 10;
/// The maximum number of trailers.
const MAX_TRAILERS: u32 = 64;

/// The error for a body that violates its framing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// A chunk size is not a number, a line end is missing, a line is too long, or there are too
    /// many trailers.
    #[display("a chunk is malformed")]
    Chunk,
    /// The connection was closed before the end of the body.
    #[display("the body is truncated")]
    Truncated,
}

/// The result of one decoding step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Bytes of the body.
    Data(Bytes),
    /// More bytes are needed.
    More,
    /// The end of the body.
    End,
}

/// What marks the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Delimiter {
    /// There is no body.
    #[display("none")]
    None,
    /// The length that the head declares.
    #[display("length")]
    Length,
    /// The last chunk.
    #[display("chunks")]
    Chunks,
    /// The end of the connection.
    #[display("close")]
    Close,
}

/// The decoder's position in a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// This many bytes are left.
    Length(u64),
    /// A chunk size line is next.
    ChunkSize,
    /// This many bytes of a chunk are left.
    ChunkData(u64),
    /// The line end after a chunk's data is next.
    ChunkEnd,
    /// Trailers are next, after this many.
    Trailers(u32),
    /// The body ends with the connection.
    UntilClose,
    /// The body has been read to its end.
    Done,
}

impl Framing {
    /// What marks the end of the body, for a body of which nothing has been read.
    pub fn delimiter(self) -> Delimiter {
        match self {
            Self::Done => Delimiter::None,
            Self::Length(_) => Delimiter::Length,
            Self::ChunkSize | Self::ChunkData(_) | Self::ChunkEnd | Self::Trailers(_) => {
                Delimiter::Chunks
            }
            Self::UntilClose => Delimiter::Close,
        }
    }

    /// Decodes and removes the next bytes of `buffer`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Chunk`] for malformed chunks.
    pub fn step(&mut self, buffer: &mut BytesMut) -> Result<Step, Error> {
        loop {
            match *self {
                Self::Done | Self::Length(0) => {
                    *self = Self::Done;
                    return Ok(Step::End);
                }
                Self::Length(left) => {
                    let Some(data) = take_bytes(buffer, left) else { return Ok(Step::More) };
                    *self = Self::Length(left - data.len() as u64);
                    return Ok(Step::Data(data));
                }
                Self::UntilClose => {
                    return Ok(take_bytes(buffer, u64::MAX).map_or(Step::More, Step::Data));
                }
                Self::ChunkData(0) => *self = Self::ChunkEnd,
                Self::ChunkData(left) => {
                    let Some(data) = take_bytes(buffer, left) else { return Ok(Step::More) };
                    *self = Self::ChunkData(left - data.len() as u64);
                    return Ok(Step::Data(data));
                }
                Self::ChunkSize => {
                    let Some(line) = take_line(buffer)? else { return Ok(Step::More) };
                    *self = match parse_chunk_size(&line)? {
                        0 => Self::Trailers(0),
                        size => Self::ChunkData(size),
                    };
                }
                Self::ChunkEnd => match take_line(buffer)? {
                    None => return Ok(Step::More),
                    Some(line) if line.is_empty() => *self = Self::ChunkSize,
                    Some(_) => return Err(Error::Chunk),
                },
                Self::Trailers(count) => match take_line(buffer)? {
                    None => return Ok(Step::More),
                    Some(line) if line.is_empty() => *self = Self::Done,
                    Some(_) if count == MAX_TRAILERS => return Err(Error::Chunk),
                    Some(_) => *self = Self::Trailers(count + 1),
                },
            }
        }
    }

    /// Removes the end of the body if it is next and completely in `buffer`. Removes nothing else.
    pub fn take_end(&mut self, buffer: &mut BytesMut) -> bool {
        let end: &[u8] = match *self {
            Self::Done | Self::Length(0) => b"",
            Self::ChunkData(0) | Self::ChunkEnd => b"\r\n0\r\n\r\n",
            Self::ChunkSize => b"0\r\n\r\n",
            Self::Length(_) | Self::ChunkData(_) | Self::Trailers(_) | Self::UntilClose => {
                return false;
            }
        };
        let is_next = buffer.starts_with(end);
        if is_next {
            buffer.advance(end.len());
            *self = Self::Done;
        }
        is_next
    }

    /// Ends the body when the backend server closes the connection without a reset.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Truncated`] unless the body is complete.
    pub fn on_close(&mut self) -> Result<(), Error> {
        match self {
            Self::Done | Self::Length(0) | Self::UntilClose => {
                *self = Self::Done;
                Ok(())
            }
            _ => Err(Error::Truncated),
        }
    }
}

fn take_bytes(buffer: &mut BytesMut, max_bytes: u64) -> Option<Bytes> {
    let length = usize::try_from(max_bytes).unwrap_or(usize::MAX).min(buffer.len());
    (length > 0).then(|| buffer.split_to(length).freeze())
}

/// Removes a line from the buffer and returns it without CR LF.
fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, Error> {
    match buffer.iter().position(|&byte| byte == b'\n') {
        Some(at) if at > 0 && buffer[at - 1] == b'\r' && at <= MAX_LINE_BYTES => {
            let line = buffer.split_to(at - 1).freeze();
            buffer.advance(2);
            Ok(Some(line))
        }
        None if buffer.len() <= MAX_LINE_BYTES => Ok(None),
        _ => Err(Error::Chunk),
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.split(|&byte| byte == b';').next().unwrap_or_default().trim_ascii();
    let text = std::str::from_utf8(digits).map_err(|_| Error::Chunk)?;
    if text.is_empty() || text.len() > 15 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Error::Chunk);
    }
    u64::from_str_radix(text, 16).map_err(|_| Error::Chunk)
}
