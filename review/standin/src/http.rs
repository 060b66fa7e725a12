//! A small HTTP/1.1 server and client on blocking sockets, without dependencies.

use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Header names in lower case.
pub type Headers = BTreeMap<String, String>;

/// A request as a server reads it.
#[derive(Debug)]
pub struct Request {
    /// The path with the query.
    pub target: String,
    pub headers: Headers,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The value of a field of the query. Percent encoding is undone.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(key, _)| *key == name).map(|(_, value)| decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read and not yet consumed.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn malformed(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes. Returns false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads a head: its first line and its headers. `None` at the end of the stream.
    fn read_head(&mut self) -> io::Result<Option<(String, Headers)>> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(malformed("cut head")) };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let headers =
            fields.map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Some((first, headers.collect())))
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(malformed("cut body"));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if !self.fill()? {
                return Err(malformed("cut line"));
            }
        }
    }

    /// Reads a body. Without a length or chunks it ends with the connection if `until_close`.
    fn read_body(&mut self, headers: &Headers, until_close: bool) -> io::Result<Vec<u8>> {
        if headers.get("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
            let mut body = Vec::new();
            while let Some(chunk) = self.read_chunk()? {
                body.extend(chunk);
            }
            return Ok(body);
        }
        match headers.get("content-length").map(|length| length.parse::<usize>()) {
            Some(Ok(length)) => self.take(length),
            Some(Err(_)) => Err(malformed("content length")),
            None if until_close => {
                while self.fill()? {}
                Ok(std::mem::take(&mut self.buffer))
            }
            None => Ok(Vec::new()),
        }
    }

    /// Reads a request. `None` if the client has closed the connection.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some((first, headers)) = self.read_head()? else { return Ok(None) };
        let target = first.split(' ').nth(1).unwrap_or_default().to_owned();
        self.read_body(&headers, false)?;
        Ok(Some(Request { target, headers }))
    }

    /// Reads the head of an answer.
    pub fn read_answer_head(&mut self) -> io::Result<(u16, Headers)> {
        loop {
            let (first, headers) = self.read_head()?.ok_or_else(|| malformed("no answer"))?;
            let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
            let status: u16 = status.ok_or_else(|| malformed("no status"))?;
            if !(100..200).contains(&status) {
                return Ok((status, headers));
            }
        }
    }

    /// Reads the next chunk of a body in chunks. `None` at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.take_line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
        let size = size.map_err(|_| malformed("chunk size"))?;
        if size == 0 {
            while !self.take_line()?.is_empty() {}
            return Ok(None);
        }
        let chunk = self.take(size)?;
        self.take_line()?;
        Ok(Some(chunk))
    }

    /// Writes an answer with a length.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str("\r\n");
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// What a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection and reads the whole answer.
pub fn exchange(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> io::Result<Answer> {
    let mut connection = begin(address, method, target, headers, body, patience)?;
    let (status, headers) = connection.read_answer_head()?;
    let body = connection.read_body(&headers, true)?;
    Ok(Answer { status, headers, body })
}

/// Sends a request on a new connection. `patience` bounds each read of its answer.
pub fn begin(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, patience.min(Duration::from_secs(1)))?;
    stream.set_read_timeout(Some(patience.max(Duration::from_millis(1))))?;
    let mut connection = Connection::new(stream);
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    if method == "POST" {
        out.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    out.push_str("connection: close\r\n\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    connection.stream.write_all(&bytes)?;
    Ok(connection)
}
