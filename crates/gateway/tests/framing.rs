//! Where bodies end, however their bytes are cut.

use bytes::BytesMut;
use hyper::Method;
use hyssop_gateway::http::{
    framing::{Fault, Framing, Step},
    head,
};

/// Reads a body from parts of bytes.
fn read(mut framing: Framing, parts: &[&[u8]]) -> Result<(Vec<u8>, bool), Fault> {
    let (mut buffer, mut body) = (BytesMut::new(), Vec::new());
    for part in parts {
        buffer.extend_from_slice(part);
        loop {
            match framing.step(&mut buffer)? {
                Step::Data(data) => body.extend_from_slice(&data),
                Step::More => break,
                Step::End => return Ok((body, true)),
            }
        }
    }
    Ok((body, false))
}

const CHUNKED: &[u8] = b"3\r\nabc\r\nA;name=value\r\n0123456789\r\n0\r\nX-Trailer: 1\r\n\r\n";

#[test]
fn chunks_are_joined_wherever_their_bytes_are_cut() {
    for first in 0..CHUNKED.len() {
        for second in first..CHUNKED.len() {
            let parts = [&CHUNKED[..first], &CHUNKED[first..second], &CHUNKED[second..]];
            let body = read(Framing::ChunkSize, &parts);
            assert_eq!(body, Ok((b"abc0123456789".to_vec(), true)), "cut at {first} and {second}");
        }
    }
}

#[test]
fn malformed_chunks_are_refused() {
    let cases: [&[u8]; 7] = [
        b"x\r\nabc\r\n0\r\n\r\n",
        b"-3\r\nabc\r\n0\r\n\r\n",
        b"+3\r\nabc\r\n0\r\n\r\n",
        b"3\nabc\r\n0\r\n\r\n",
        b"3\r\nabcd\r\n0\r\n\r\n",
        b"\r\nabc\r\n0\r\n\r\n",
        b"fffffffffffffffff\r\n",
    ];
    for bytes in cases {
        let body = read(Framing::ChunkSize, &[bytes]);
        assert_eq!(body, Err(Fault::Chunk), "{}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn a_body_is_truncated_unless_it_ends_with_its_connection() {
    assert_eq!(Framing::Length(1).end(), Err(Fault::Truncated));
    assert_eq!(Framing::ChunkSize.end(), Err(Fault::Truncated));
    assert_eq!(Framing::Trailers.end(), Err(Fault::Truncated));
    assert_eq!(Framing::Length(0).end(), Ok(()));
    assert_eq!(Framing::UntilClose.end(), Ok(()));
}

/// The regression of the commit that tested answers against stand-ins: the end was looked for by a
/// step, which took the next chunk along.
#[test]
fn looking_for_the_end_takes_nothing_else() {
    for left in 0..CHUNKED.len() {
        let mut framing = Framing::ChunkSize;
        let mut buffer = BytesMut::from(&CHUNKED[..left]);
        let mut body = Vec::new();
        while let Ok(Step::Data(data)) = framing.step(&mut buffer) {
            body.extend_from_slice(&data);
            framing.take_end(&mut buffer);
        }
        let plain = read(Framing::ChunkSize, &[&CHUNKED[..left]]).expect("well-formed chunks");
        assert_eq!(body, plain.0, "the first {left} bytes");
    }
    let mut framing = Framing::ChunkData(0);
    let mut buffer = BytesMut::from(&b"\r\n0\r\n\r\nHTTP/1.1 200 OK"[..]);
    assert!(framing.take_end(&mut buffer));
    assert_eq!((framing, &buffer[..]), (Framing::Done, &b"HTTP/1.1 200 OK"[..]));
}

#[test]
fn framings_that_could_be_read_in_two_ways_are_refused() {
    let heads = [
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: xchunked",
        "Content-Length: +3",
        "Content-Length: 3, 3",
        "Content-Length: ",
    ];
    for lines in heads {
        let mut buffer =
            BytesMut::from(format!("HTTP/1.1 200 OK\r\n{lines}\r\n\r\nabc").as_bytes());
        let parsed = head::parse(&mut buffer, &Method::GET);
        assert!(matches!(parsed, Err(head::Fault::Framing)), "{lines}: {parsed:?}");
    }
}

#[test]
fn answers_that_have_no_body_end_with_their_head() {
    let text = "HTTP/1.1 204 No Content\r\n\r\n";
    let parsed = head::parse(&mut BytesMut::from(text), &Method::GET);
    assert_eq!(parsed.expect("a head").expect("a whole one").framing, Framing::Done);
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    let parsed = head::parse(&mut BytesMut::from(text), &Method::HEAD);
    assert_eq!(parsed.expect("a head").expect("a whole one").framing, Framing::Done);
}

#[test]
fn any_bytes_are_read_or_refused() {
    bolero::check!().with_max_len(512).with_iterations(20_000).for_each(|bytes: &[u8]| {
        let mut buffer = BytesMut::from(bytes);
        if let Ok(Some(head)) = head::parse(&mut buffer, &Method::GET) {
            let mut framing = head.framing;
            for _ in 0..bytes.len() + 2 {
                match framing.step(&mut buffer) {
                    Ok(Step::Data(_)) => {}
                    Ok(Step::More | Step::End) | Err(_) => return,
                }
            }
            panic!("the body does not end");
        }
    });
}

#[test]
fn any_chunks_are_read_or_refused() {
    bolero::check!().with_max_len(512).with_iterations(20_000).for_each(|bytes: &[u8]| {
        let whole = read(Framing::ChunkSize, &[bytes]);
        let half = bytes.len() / 2;
        let cut = read(Framing::ChunkSize, &[&bytes[..half], &bytes[half..]]);
        // Data before a malformed chunk may be given; the verdict is the same.
        assert_eq!(whole, cut);
    });
}
