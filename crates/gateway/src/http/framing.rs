//! Where a body ends.

use bytes::{Buf as _, Bytes, BytesMut};
use derive_more::{Display, Error};

/// The longest line of a chunk's size with its extensions, and the longest trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4 << 10;

/// Why a body's framing can't be followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// A chunk's size is no number, or a line is too long.
    #[display("a chunk is malformed")]
    Chunk,
    /// The connection ended before the body did.
    #[display("the body is truncated")]
    Truncated,
}

/// What is next in a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Some bytes of it.
    Data(Bytes),
    /// Nothing until more bytes come.
    More,
    /// Its end.
    End,
}

/// How far a body has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes are left.
    Length(u64),
    /// A chunk's size is next.
    ChunkSize,
    /// So many bytes of a chunk are left.
    ChunkData(u64),
    /// The end of a chunk's line is next.
    ChunkEnd,
    /// Trailers are next.
    Trailers,
    /// The body ends with the connection.
    UntilClose,
    /// All is read.
    Done,
}

impl Framing {
    /// Takes what is next out of `buffer`.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Chunk`] for malformed chunks.
    pub fn step(&mut self, buffer: &mut BytesMut) -> Result<Step, Fault> {
        loop {
            match *self {
                Self::Done | Self::Length(0) => {
                    *self = Self::Done;
                    return Ok(Step::End);
                }
                Self::Length(left) => {
                    let Some(data) = take(buffer, left) else { return Ok(Step::More) };
                    *self = Self::Length(left - data.len() as u64);
                    return Ok(Step::Data(data));
                }
                Self::UntilClose => {
                    return Ok(take(buffer, u64::MAX).map_or(Step::More, Step::Data));
                }
                Self::ChunkData(0) => *self = Self::ChunkEnd,
                Self::ChunkData(left) => {
                    let Some(data) = take(buffer, left) else { return Ok(Step::More) };
                    *self = Self::ChunkData(left - data.len() as u64);
                    return Ok(Step::Data(data));
                }
                Self::ChunkSize => {
                    let Some(line) = line(buffer)? else { return Ok(Step::More) };
                    *self = match size(&line)? {
                        0 => Self::Trailers,
                        size => Self::ChunkData(size),
                    };
                }
                Self::ChunkEnd => match line(buffer)? {
                    None => return Ok(Step::More),
                    Some(line) if line.is_empty() => *self = Self::ChunkSize,
                    Some(_) => return Err(Fault::Chunk),
                },
                Self::Trailers => match line(buffer)? {
                    None => return Ok(Step::More),
                    Some(line) if line.is_empty() => *self = Self::Done,
                    Some(_) => {}
                },
            }
        }
    }

    /// Takes the body's end if it is next and all of it is in `buffer`. Takes nothing else.
    pub fn take_end(&mut self, buffer: &mut BytesMut) -> bool {
        let end: &[u8] = match *self {
            Self::Done | Self::Length(0) => b"",
            Self::ChunkData(0) | Self::ChunkEnd => b"\r\n0\r\n\r\n",
            Self::ChunkSize => b"0\r\n\r\n",
            Self::Length(_) | Self::ChunkData(_) | Self::Trailers | Self::UntilClose => {
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

    /// Takes that the connection ended in order.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Truncated`] unless the body ends there.
    pub fn end(&mut self) -> Result<(), Fault> {
        match self {
            Self::Done | Self::Length(0) | Self::UntilClose => {
                *self = Self::Done;
                Ok(())
            }
            _ => Err(Fault::Truncated),
        }
    }
}

fn take(buffer: &mut BytesMut, most: u64) -> Option<Bytes> {
    let length = usize::try_from(most).unwrap_or(usize::MAX).min(buffer.len());
    (length > 0).then(|| buffer.split_to(length).freeze())
}

/// Takes a line without its end.
fn line(buffer: &mut BytesMut) -> Result<Option<Bytes>, Fault> {
    match buffer.iter().position(|&byte| byte == b'\n') {
        Some(at) if at > 0 && buffer[at - 1] == b'\r' && at <= MAX_LINE_BYTES => {
            let line = buffer.split_to(at - 1).freeze();
            buffer.advance(2);
            Ok(Some(line))
        }
        None if buffer.len() <= MAX_LINE_BYTES => Ok(None),
        _ => Err(Fault::Chunk),
    }
}

fn size(line: &[u8]) -> Result<u64, Fault> {
    let digits = line.split(|&byte| byte == b';').next().unwrap_or_default().trim_ascii();
    let text = std::str::from_utf8(digits).map_err(|_| Fault::Chunk)?;
    if text.is_empty() || text.len() > 15 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Fault::Chunk);
    }
    u64::from_str_radix(text, 16).map_err(|_| Fault::Chunk)
}
